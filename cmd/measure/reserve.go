package main

import (
	"fmt"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// reserved is an address that refuses connections until it is listened on, and that
// nobody else can come by meanwhile: a daemon that holds messages for it would send
// them to whoever does.
type reserved struct {
	addr string
	fd   int
}

func reserve() (*reserved, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("reserve an address: %w", err)
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("reserve an address: %w", err)
	}
	at, err := unix.Getsockname(fd)
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("reserve an address: %w", err)
	}
	return &reserved{fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port), fd}, nil
}

// listen begins to take connections.
func (r *reserved) listen() (net.Listener, error) {
	if err := unix.Listen(r.fd, unix.SOMAXCONN); err != nil {
		return nil, fmt.Errorf("listen on %s: %w", r.addr, err)
	}
	f := os.NewFile(uintptr(r.fd), r.addr)
	defer f.Close()
	return net.FileListener(f)
}
