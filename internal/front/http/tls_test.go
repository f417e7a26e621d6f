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

// pemOf makes a certificate for loopback, with its key.
func pemOf(t *testing.T) (cert, key []byte) {
	t.Helper()
	priv, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{SerialNumber: serial, NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &priv.PublicKey, priv)
	if err != nil {
		t.Fatal(err)
	}
	k, err := x509.MarshalECPrivateKey(priv)
	if err != nil {
		t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: k})
}

// insecure takes any certificate: the tests look at which one is shown.
func insecure() *tls.Config { return &tls.Config{InsecureSkipVerify: true} }

// Certificates are reread when they change, and a bad one leaves the old one in place; HTTP/2 is spoken over TLS and
// without.
func TestTLS(t *testing.T) {
	dir := t.TempDir()
	write := func() {
		certPEM, keyPEM := pemOf(t)
		os.WriteFile(dir+"/cert.pem", certPEM, 0o600)
		os.WriteFile(dir+"/key.pem", keyPEM, 0o600)
	}
	write()
	f := New(&scripted{}, Options{Listen: "127.0.0.1:0", Connections: 64, Certificate: dir + "/cert.pem", Key: dir + "/key.pem",
		Log: slog.New(slog.DiscardHandler)})
	f.certTime = 5 * time.Millisecond
	if err := f.Listen(); err != nil {
		t.Fatal(err)
	}
	go f.Serve()
	t.Cleanup(func() { f.CloseListener(); f.Shutdown(context.Background(), true) })
	base := "http://" + f.Addr().String()
	base = "https" + strings.TrimPrefix(base, "http")
	get := func() (serial, proto string) {
		t.Helper()
		c := &http.Client{Transport: &http.Transport{TLSClientConfig: insecure(), ForceAttemptHTTP2: true, DisableKeepAlives: true}}
		resp, err := c.Get(base + "/openapi.json")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.TLS.PeerCertificates[0].SerialNumber.String(), resp.Proto
	}
	first, proto := get()
	if proto != "HTTP/2.0" {
		t.Errorf("spoken: %s", proto)
	}
	write()
	second := first
	byhand.WaitUntil(t, "new certificate", func() bool { second, _ = get(); return second != first })
	os.WriteFile(dir+"/cert.pem", []byte("-----BEGIN"), 0o600)
	if err := f.RereadCertificate(); err == nil {
		t.Error("no error for half a certificate")
	}
	if third, _ := get(); third != second {
		t.Error("the old certificate does not stand")
	}
	_, plain := newFront(t, &scripted{})
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	resp, err := (&http.Client{Transport: &http.Transport{Protocols: &p}}).Get(plain + "/openapi.json")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.Proto != "HTTP/2.0" {
		t.Errorf("spoken without TLS: %s", resp.Proto)
	}
}
