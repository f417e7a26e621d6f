// Package netutil has operations on connections and listeners that package net does not offer.
package netutil

import (
	"errors"
	"net"
	"syscall"
)

// Peek inspects a connection without reading or waiting. It reports whether the peer still has it open, and whether
// there are bytes to read.
func Peek(conn net.Conn) (alive, data bool) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		data = n > 0
		alive = data || errors.Is(err, syscall.EAGAIN)
	})
	return alive && err == nil, data
}

// PeekInto copies received bytes of a connection into b without reading or waiting, and returns their number.
func PeekInto(conn net.Conn, b []byte) (n int) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), b, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return max(n, 0)
}
