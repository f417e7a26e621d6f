package netutil

import (
	"net"
	"testing"
)

func TestMatchesAddr(t *testing.T) {
	for _, c := range []struct {
		configured, at string
		want           bool
	}{
		{"127.0.0.1:80", "127.0.0.1:80", true}, {"127.0.0.1:0", "127.0.0.1:80", true},
		{"127.0.0.1:81", "127.0.0.1:80", false},
		{"127.0.0.2:80", "127.0.0.1:80", false}, {":80", "[::]:80", true}, {"0.0.0.0:80", "[::]:80", true},
		{":80", "127.0.0.1:80", false},
		{"127.0.0.1:80", "[::]:80", false}, {"nonsense", "127.0.0.1:80", false},
	} {
		at, err := net.ResolveTCPAddr("tcp", c.at)
		if err != nil {
			t.Fatal(err)
		}
		if got := MatchesAddr(c.configured, at); got != c.want {
			t.Errorf("%s at %s: %v", c.configured, c.at, got)
		}
	}
	if MatchesAddr("127.0.0.1:80", &net.UnixAddr{Name: "x"}) {
		t.Error("a Unix socket matches a TCP address")
	}
}
