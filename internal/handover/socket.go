package handover

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"
)

// The socket lies in a subfolder of the journal's folder, which stores of all versions
// ignore.
const (
	folderName = "upgrade"
	socketName = "socket"
)

// withSocketPath calls f with a path of the socket that is short enough for the address of a
// Unix socket, which holds about a hundred bytes, however deep the folder lies.
func withSocketPath(dir string, f func(path string) error) error {
	d, err := os.Open(filepath.Join(dir, folderName))
	if err != nil {
		return err
	}
	defer d.Close()
	return f(fmt.Sprintf("/proc/self/fd/%d/%s", d.Fd(), socketName))
}

// Listener accepts connections of successors.
type Listener struct {
	ln *net.UnixListener
}

// Listen listens in the journal's folder dir. The caller must own the journal: it replaces a
// socket that is there, which a process that has ended or handed over has left.
func Listen(dir string) (*Listener, error) {
	if err := os.MkdirAll(filepath.Join(dir, folderName), 0o700); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l := &Listener{}
	err := withSocketPath(dir, func(path string) (err error) {
		os.Remove(filepath.Join(dir, folderName, socketName))
		l.ln, err = net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l.ln.SetUnlinkOnClose(false) // by then the successor may have replaced the file
	return l, nil
}

// Accept waits for a connection of a successor.
func (l *Listener) Accept() (*Conn, error) {
	c, err := l.ln.AcceptUnix()
	if err != nil {
		return nil, err
	}
	return &Conn{c: c}, nil
}

// Close closes the listener. The socket's file stays.
func (l *Listener) Close() error { return l.ln.Close() }

// Dial connects to the process that listens in the journal's folder dir, within wait.
func Dial(dir string, wait time.Duration) (*Conn, error) {
	var c net.Conn
	err := withSocketPath(dir, func(path string) (err error) {
		c, err = net.DialTimeout("unix", path, wait)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return &Conn{c: c.(*net.UnixConn)}, nil
}
