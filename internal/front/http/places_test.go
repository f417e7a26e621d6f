package httpfront

import (
	"net"
	"net/http"
	"testing"
)

// One that has had an answer makes room before one that has asked nothing yet,
// unless such ones have taken most places; busy ones never do.
func TestWhoMakesRoom(t *testing.T) {
	for _, x := range []struct{ silent, busy, gone int }{{1, 0, 1}, {6, 0, 6}, {7, 0, 0}, {8, 0, 0}, {3, 5, 0}, {0, 8, -1}} {
		p := &places{most: 8, conns: map[net.Conn]place{}}
		var all []net.Conn
		for i := range 8 {
			c, _ := net.Pipe()
			all = append(all, c)
			p.take(c)
			if i >= x.silent {
				p.note(c, http.StateActive)
			}
			if i >= x.silent+x.busy {
				p.note(c, http.StateIdle)
			}
		}
		c, _ := net.Pipe()
		if got := p.take(c); got != (x.gone >= 0) {
			t.Errorf("%+v: taken: %v", x, got)
		}
		for i, c := range all {
			if _, stays := p.conns[c]; stays == (i == x.gone) {
				t.Errorf("%+v: connection %d stays: %v", x, i, stays)
			}
		}
	}
}
