package netutil

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// WaitReadable waits until a connection has bytes to read, without reading them and without a buffer. It returns
// [io.EOF] when the peer has closed its side, and an error that is [os.ErrDeadlineExceeded] when the read deadline has
// passed. ok is false for a connection that does not support this wait.
func WaitReadable(conn net.Conn) (ok bool, err error) {
	sc, is := conn.(syscall.Conn)
	if !is {
		return false, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true, err
	}
	var found error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		for {
			n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			switch {
			case errors.Is(err, syscall.EINTR):
				continue
			case errors.Is(err, syscall.EAGAIN):
				return false // wait for the poller
			case err != nil:
				found = err
			case n == 0:
				found = io.EOF
			}
			return true
		}
	})
	return true, errors.Join(err, found)
}
