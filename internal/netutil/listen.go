package netutil

import "net"

// MatchesAddr reports whether the address of a listener is the one that a configuration names as host:port. Port 0
// matches any port.
func MatchesAddr(configured string, addr net.Addr) bool {
	at, ok := addr.(*net.TCPAddr)
	if !ok {
		return false
	}
	want, err := net.ResolveTCPAddr("tcp", configured)
	if err != nil || want.Port != 0 && want.Port != at.Port {
		return false
	}
	any := len(want.IP) == 0 || want.IP.IsUnspecified()
	return any && at.IP.IsUnspecified() || !any && want.IP.Equal(at.IP)
}
