package router

import (
	_ "embed"

	"github.com/kataras/iris/v12"
)

// consolePage is a page of forms over the administration API. Its output is
// the one validated document.
//
//go:embed console.html
var consolePage []byte

func (r *Router) handleConsole(ctx iris.Context) {
	ctx.Header("Content-Type", "text/html; charset=utf-8")
	ctx.Header("Content-Security-Policy", "default-src 'none'; script-src 'unsafe-inline'; style-src 'unsafe-inline'; connect-src 'self'")
	_, _ = ctx.Write(consolePage)
}
