package netutil

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Hangup is how far the peer of a connection has ended it.
type Hangup int

// The hangups.
const (
	NotEnded   Hangup = iota // the peer may go on sending, as far as is known
	EndedInput               // the peer has closed the connection, or its side of it
	Reset                    // the connection is broken: the peer gets nothing more
)

// PeerHangup returns how far the peer has ended a connection, without reading or waiting. Bytes that were received
// before that and are still unread do not hide it. It returns NotEnded for a connection of which it can't be told.
func PeerHangup(conn net.Conn) Hangup {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return NotEnded
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return NotEnded
	}
	hangup := NotEnded
	raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if n, err := unix.Poll(fds, 0); err != nil || n == 0 {
			return
		}
		switch events := fds[0].Revents; {
		case events&(unix.POLLERR|unix.POLLHUP) != 0:
			hangup = Reset
		case events&unix.POLLRDHUP != 0:
			hangup = EndedInput
		}
	})
	return hangup
}
