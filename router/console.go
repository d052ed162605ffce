package router

import (
	_ "embed"

	"github.com/kataras/iris/v12"
)

// consolePage is the operators' console, a page of forms that uses the administration
// API. The only thing it submits is a configuration document, which the API validates.
//
//go:embed console.html
var consolePage []byte

// handleConsole sends the console page.
func (r *Router) handleConsole(ctx iris.Context) {
	ctx.Header("Content-Type", "text/html; charset=utf-8")
	ctx.Header("Content-Security-Policy", "default-src 'none'; script-src 'unsafe-inline'; style-src 'unsafe-inline'; connect-src 'self'")
	_, _ = ctx.Write(consolePage)
}
