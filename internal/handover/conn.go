package handover

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	maxFrameBytes = 32 << 20 // mostly ends kept in memory and the states of partners
	maxFiles      = 8        // descriptors that one message may carry
	headerSize    = 5        // bytes: the length of the frame's body (4 bytes, big-endian) and the kind of message
	sendTimeout   = 2 * time.Second
)

// Conn is a connection between predecessor and successor that carries messages both ways.
// Several goroutines may send; only one may receive.
type Conn struct {
	c  *net.UnixConn
	mu sync.Mutex // serializes sends
}

// Send sends a pointer to a message of this package. If that fails, also because the peer does
// not read in time, it closes the connection.
func (c *Conn) Send(m any) error { return c.SendWith(m, nil) }

// SendWith is [Conn.Send] with open file descriptors, which the peer receives duplicates of.
func (c *Conn) SendWith(m any, files []int) error {
	kind := kindOf(m)
	if kind == 0 {
		return fmt.Errorf("handover: %T is not a message type", m)
	}
	body, err := cbor.Marshal(m)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if len(body) > maxFrameBytes {
		return fmt.Errorf("handover: message of %d bytes exceeds the limit of %d bytes", len(body), maxFrameBytes)
	}
	head := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	frame := append(append(head, kind), body...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.c.SetWriteDeadline(time.Now().Add(sendTimeout))
	if len(files) > 0 {
		n, _, err := c.c.WriteMsgUnix(frame[:headerSize], syscall.UnixRights(files...), nil)
		if err == nil && n != headerSize {
			err = io.ErrShortWrite
		}
		if err != nil {
			c.c.Close()
			return fmt.Errorf("handover: %w", err)
		}
		frame = frame[headerSize:]
	}
	if _, err := c.c.Write(frame); err != nil {
		c.c.Close()
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// Receive waits for a message and returns a pointer to it. The caller must close the files
// that came with it.
func (c *Conn) Receive() (m any, files []*os.File, err error) {
	defer func() {
		if err != nil {
			for _, f := range files {
				f.Close()
			}
			files = nil
		}
	}()
	var head [headerSize]byte
	oob := make([]byte, syscall.CmsgSpace(4*maxFiles))
	for n := 0; n < headerSize; {
		got, oobn, _, _, err := c.c.ReadMsgUnix(head[n:], oob)
		if oobn > 0 {
			more, ferr := parseFiles(oob[:oobn])
			files = append(files, more...)
			err = errors.Join(err, ferr)
		}
		if err == nil && got == 0 {
			err = io.EOF
		}
		if err != nil {
			return nil, files, err
		}
		n += got
	}
	size, kind := binary.BigEndian.Uint32(head[:4]), int(head[4])
	if size > maxFrameBytes || kind == 0 || kind >= len(kinds) {
		return nil, files, fmt.Errorf("handover: invalid message of kind %d and %d bytes", kind, size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(c.c, body); err != nil {
		return nil, files, err
	}
	m = kinds[kind]()
	if err := cbor.Unmarshal(body, m); err != nil {
		return nil, files, fmt.Errorf("handover: %T: %w", m, err)
	}
	return m, files, nil
}

// parseFiles returns the files whose descriptors are in control messages.
func parseFiles(oob []byte) (files []*os.File, err error) {
	list, err := syscall.ParseSocketControlMessage(oob)
	if err != nil {
		return nil, err
	}
	for _, x := range list {
		fds, err := syscall.ParseUnixRights(&x)
		if err != nil {
			return files, err
		}
		for _, fd := range fds {
			syscall.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "handed over"))
		}
	}
	return files, nil
}

// SetReceiveDeadline sets the deadline of [Conn.Receive]; the zero time means none.
func (c *Conn) SetReceiveDeadline(by time.Time) { c.c.SetReadDeadline(by) }

// Close closes the connection.
func (c *Conn) Close() error { return c.c.Close() }

// PeerPID returns the process id of the peer as the kernel reports it; 0 if unknown.
func (c *Conn) PeerPID() (pid int) {
	raw, err := c.c.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		if cred, err := syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED); err == nil {
			pid = int(cred.Pid)
		}
	})
	return pid
}
