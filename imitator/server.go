package imitator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Server serves one stand-in on a loopback port.
type Server struct {
	// URL is the base URL.
	URL  string
	http *http.Server
}

// readHeaderTimeout bounds the reading of a request's header.
const readHeaderTimeout = 5 * time.Second

// Serve starts a stand-in's handler on address, such as 127.0.0.1:0.
func Serve(address string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for stand-in on %s", address)
	}
	s := &Server{URL: "http://" + l.Addr().String(), http: &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// Close stops the server at once, as a crash would.
func (s *Server) Close() { _ = s.http.Close() }

// Stop stops the server once its calls have ended or ctx is done.
func (s *Server) Stop(ctx context.Context) error { return s.http.Shutdown(ctx) }

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
