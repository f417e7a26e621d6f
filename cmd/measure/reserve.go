package main

import (
	"fmt"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// reservedAddr is an address that refuses connections until listen, and that no other
// process can listen on meanwhile: a daemon with pending messages for the address would
// send them to that process.
type reservedAddr struct {
	addr string // host and port
	fd   int    // the bound socket; closed by listen
}

// reserveAddr binds a free port of loopback without listening on it.
func reserveAddr() (*reservedAddr, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("reserve an address: %w", err)
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("reserve an address: %w", err)
	}
	sockaddr, err := unix.Getsockname(fd)
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("reserve an address: %w", err)
	}
	return &reservedAddr{fmt.Sprintf("127.0.0.1:%d", sockaddr.(*unix.SockaddrInet4).Port), fd}, nil
}

// listen returns a listener on the address, which accepts connections from now on. It may be called once.
func (r *reservedAddr) listen() (net.Listener, error) {
	if err := unix.Listen(r.fd, unix.SOMAXCONN); err != nil {
		return nil, fmt.Errorf("listen on %s: %w", r.addr, err)
	}
	f := os.NewFile(uintptr(r.fd), r.addr)
	defer f.Close()
	return net.FileListener(f)
}
