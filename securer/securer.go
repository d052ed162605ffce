// Package securer proves to a process of the fleet that its peer is one too,
// and sets up the HTTP servers and clients between them.
//
// A peer shows its name and the time under a message authentication code made
// with the fleet's shared secret. With a certificate in the settings the links
// use TLS besides.
package securer

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Config is what the settings say of the links between processes.
type Config struct {
	// Secret is shared by all processes of one fleet.
	Secret string
	// CertFile, KeyFile and CAFile turn on TLS if they are set.
	CertFile string
	KeyFile  string
	CAFile   string
}

// Securer signs and checks the calls between processes.
type Securer struct {
	secret []byte
	tls    *tls.Config
}

const (
	// peerHeader carries name|unix time|code.
	peerHeader = "X-Buckthorndrum-Peer"
	// maxSkew is how far apart the clocks of two processes may be.
	maxSkew = time.Minute
	// minSecret is the least length of the shared secret, in bytes.
	minSecret = 16
)

// New checks the configuration and loads the certificates.
func New(cfg Config) (*Securer, error) {
	if len(cfg.Secret) < minSecret {
		return nil, fmt.Errorf("secret has %d bytes, fewer than %d", len(cfg.Secret), minSecret)
	}
	s := &Securer{secret: []byte(cfg.Secret)}
	if cfg.CertFile == "" {
		return s, nil
	}
	return s, s.load(cfg)
}

func (s *Securer) load(cfg Config) error {
	cert, err := tls.LoadX509KeyPair(cfg.CertFile, cfg.KeyFile)
	if err != nil {
		return errors.Wrapf(err, "load certificate %s with key %s", cfg.CertFile, cfg.KeyFile)
	}
	pem, err := os.ReadFile(cfg.CAFile)
	if err != nil {
		return errors.Wrapf(err, "read certificate authority %s", cfg.CAFile)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return fmt.Errorf("certificate authority %s holds no certificate", cfg.CAFile)
	}
	s.tls = &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS12,
	}
	return nil
}

// Scheme returns the URL scheme of the calls between processes.
func (s *Securer) Scheme() string {
	if s.tls != nil {
		return "https"
	}
	return "http"
}

// TLS returns the TLS configuration, or nil for plain TCP.
func (s *Securer) TLS() *tls.Config { return s.tls }

// Sign adds the proof that the process of this name belongs to the fleet.
func (s *Securer) Sign(h http.Header, name string, now time.Time) {
	t := strconv.FormatInt(now.Unix(), 10)
	h.Set(peerHeader, name+"|"+t+"|"+s.code(name, t))
}

// Check returns the name of the process that made a call, or an error if it
// does not belong to the fleet.
func (s *Securer) Check(h http.Header, now time.Time) (string, error) {
	f := strings.Split(h.Get(peerHeader), "|")
	if len(f) != peerFields {
		return "", errors.New("call has no peer proof")
	}
	if !hmac.Equal([]byte(f[2]), []byte(s.code(f[0], f[1]))) {
		return "", fmt.Errorf("peer proof of %.64q is wrong", f[0])
	}
	unix, err := strconv.ParseInt(f[1], 10, 64)
	if err != nil || now.Sub(time.Unix(unix, 0)).Abs() > maxSkew {
		return "", fmt.Errorf("peer proof of %.64q is more than %s off", f[0], maxSkew)
	}
	return f[0], nil
}

// peerFields is how many parts a peer proof has.
const peerFields = 3

func (s *Securer) code(name, t string) string {
	m := hmac.New(sha256.New, s.secret)
	_, _ = m.Write([]byte("peer|" + name + "|" + t))
	return hex.EncodeToString(m.Sum(nil))
}

// Client returns an HTTP/2 client for calls to other processes. Streams have
// no overall time limit.
func (s *Securer) Client() *http.Client {
	var p http.Protocols
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(s.tls == nil)
	return &http.Client{Transport: &http.Transport{
		Protocols:             &p,
		TLSClientConfig:       s.tls.Clone(),
		ResponseHeaderTimeout: responseHeaderTimeout,
		HTTP2:                 &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}}
}

// LinkClient returns an HTTP/1.1 client, which WebSocket needs. It offers no
// other protocol in the TLS handshake, so that the server does not choose
// HTTP/2.
func (s *Securer) LinkClient() *http.Client {
	var p http.Protocols
	p.SetHTTP1(true)
	cfg := s.tls.Clone()
	if cfg != nil {
		cfg.NextProtos = []string{"http/1.1"}
	}
	return &http.Client{Transport: &http.Transport{Protocols: &p, TLSClientConfig: cfg}}
}

const (
	// responseHeaderTimeout bounds the wait for the first byte of an answer.
	responseHeaderTimeout = 5 * time.Second
	// pingAfter is after how much silence a connection is probed.
	pingAfter = 2 * time.Second
	// pingTimeout is when an unanswered probe means a lost connection.
	pingTimeout = 3 * time.Second
	// readHeaderTimeout bounds the reading of a request's header.
	readHeaderTimeout = 5 * time.Second
	// maxHeaderBytes bounds the header of a request, in bytes. A connection of HTTP/2 holds
	// one incomplete header at a time.
	maxHeaderBytes = 16 << 10
)

// Server returns an HTTP server for calls from other processes. It has a TLS
// configuration of its own, since serving writes the protocols into it.
func (s *Securer) Server(h http.Handler) *http.Server {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(s.tls == nil)
	return &http.Server{Handler: h, Protocols: &p, TLSConfig: s.tls.Clone(), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
}
