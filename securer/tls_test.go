package securer_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"buckthorndrum/securer"
)

// certificate writes a certificate of the authority for 127.0.0.1, which is its
// own authority, and returns the configuration that names the files.
func certificate(t *testing.T) securer.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	cfg := securer.Config{Secret: "a secret of the fleet", CertFile: filepath.Join(dir, "cert"), KeyFile: filepath.Join(dir, "key")}
	cfg.CAFile = cfg.CertFile
	write(t, cfg.CertFile, "CERTIFICATE", der)
	write(t, cfg.KeyFile, "EC PRIVATE KEY", raw)
	return cfg
}

func write(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestTLS checks that processes of one fleet reach each other over TLS, and that
// one with another authority or without a certificate does not.
func TestTLS(t *testing.T) {
	mine, err := securer.New(certificate(t))
	if err != nil {
		t.Fatal(err)
	}
	other, err := securer.New(certificate(t))
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := mine.Server(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	go func() { _ = srv.ServeTLS(l, "", "") }()
	defer func() { _ = srv.Close() }()
	// The server has answered once before the other clients are made, since
	// serving must not change what they offer in the handshake.
	first, err := mine.Client().Get(mine.Scheme() + "://" + l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = first.Body.Close()
	for name, tc := range map[string]struct {
		client *http.Client
		ok     bool
	}{
		"same fleet":          {mine.Client(), true},
		"same fleet, link":    {mine.LinkClient(), true},
		"other fleet":         {other.Client(), false},
		"without certificate": {securerOf(t, "a secret of the fleet").LinkClient(), false},
	} {
		t.Run(name, func(t *testing.T) {
			resp, err := tc.client.Get(mine.Scheme() + "://" + l.Addr().String())
			if (err == nil) != tc.ok {
				t.Fatalf("call says %v", err)
			}
			if err == nil {
				_ = resp.Body.Close()
			}
		})
	}
}
