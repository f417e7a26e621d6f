package httpfront

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"cometrack/internal/standin/byhand"
)

// newCertificate returns a certificate for the loopback address, and its key, in PEM.
func newCertificate(t *testing.T) (cert, key []byte) {
	t.Helper()
	priv, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{SerialNumber: serial, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &priv.PublicKey, priv)
	if err != nil {
		t.Fatal(err)
	}
	k, err := x509.MarshalECPrivateKey(priv)
	if err != nil {
		t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: k})
}

// insecureTLS accepts any certificate: the tests check which one is presented.
func insecureTLS() *tls.Config { return &tls.Config{InsecureSkipVerify: true} }

// Certificates are reloaded when their files change, and an invalid one leaves the old one in use. HTTP/2 works with
// and without TLS.
func TestTLS(t *testing.T) {
	dir := t.TempDir()
	write := func() {
		certPEM, keyPEM := newCertificate(t)
		os.WriteFile(dir+"/cert.pem", certPEM, 0o600)
		os.WriteFile(dir+"/key.pem", keyPEM, 0o600)
	}
	write()
	f := New(&fakeCore{}, Options{Listen: "127.0.0.1:0", MaxConnections: 64, Certificate: dir + "/cert.pem",
		Key: dir + "/key.pem", Log: slog.New(slog.DiscardHandler)})
	f.certificateCheckInterval = 5 * time.Millisecond
	if err := f.Listen(); err != nil {
		t.Fatal(err)
	}
	go f.Serve()
	t.Cleanup(func() { f.CloseListener(); f.Shutdown(context.Background(), true) })
	base := "http://" + f.Addr().String()
	base = "https" + strings.TrimPrefix(base, "http")
	get := func() (serial, proto string) {
		t.Helper()
		c := &http.Client{Transport: &http.Transport{TLSClientConfig: insecureTLS(), ForceAttemptHTTP2: true,
			DisableKeepAlives: true}}
		resp, err := c.Get(base + "/openapi.json")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.TLS.PeerCertificates[0].SerialNumber.String(), resp.Proto
	}
	first, proto := get()
	if proto != "HTTP/2.0" {
		t.Errorf("protocol over TLS: %s", proto)
	}
	write()
	second := first
	byhand.WaitUntil(t, "new certificate", func() bool { second, _ = get(); return second != first })
	os.WriteFile(dir+"/cert.pem", []byte("-----BEGIN"), 0o600)
	if err := f.ReloadCertificate(); err == nil {
		t.Error("no error for an incomplete certificate")
	}
	if third, _ := get(); third != second {
		t.Error("the old certificate is not in use")
	}
	_, plain := newFront(t, &fakeCore{})
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	resp, err := (&http.Client{Transport: &http.Transport{Protocols: &p}}).Get(plain + "/openapi.json")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.Proto != "HTTP/2.0" {
		t.Errorf("protocol without TLS: %s", resp.Proto)
	}
}
