package cluster

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"cometrack/internal/netutil"
)

// A guard is a second process of a sender that answers the others' probes. It says
// of a life that has not run for two leases that it is over: a step that began
// within the first of them finds its pause when it ends, and any later one before
// it begins. So a paused sender is told from one that is cut off. The guard ends
// with its sender, and with it the address refuses.

// Bounds of a door.
const (
	doorConns  = 64
	doorTime   = time.Second // for one ask
	guardPause = time.Second // before a guard that has ended is started again
)

// stamp is a page that a sender and its guard share: the life, and when it last ran.
type stamp struct {
	file *os.File
	mu   sync.RWMutex // of what follows, against its end
	page []byte       // nil once it is closed: an answer to a probe may still be under way
}

const stampSize = 4096

func newStamp(dir string) (*stamp, error) {
	f, err := os.OpenFile(filepath.Join(dir, "cluster.stamp"), os.O_CREATE|os.O_RDWR, 0o600)
	if err == nil {
		if err = f.Truncate(stampSize); err != nil {
			f.Close()
		}
	}
	if err != nil {
		return nil, err
	}
	return mapStamp(f)
}

func mapStamp(f *os.File) (*stamp, error) {
	page, err := unix.Mmap(int(f.Fd()), 0, stampSize, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		f.Close()
		return nil, fmt.Errorf("stamp: %w", err)
	}
	return &stamp{file: f, page: page}, nil
}

func (s *stamp) word(i int) *uint64 { return (*uint64)(unsafe.Pointer(&s.page[8*i])) }

// set notes that a life ran at a time.
func (s *stamp) set(id uint64, ran time.Duration) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.page == nil {
		return
	}
	atomic.StoreUint64(s.word(0), id)
	atomic.StoreUint64(s.word(1), uint64(ran))
}

// get tells the life and when it last ran, as they belonged together; 0 once it is
// closed, which is no life.
func (s *stamp) get() (id uint64, ran time.Duration) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.page == nil {
		return 0, 0
	}
	for {
		id = atomic.LoadUint64(s.word(0))
		ran = time.Duration(atomic.LoadUint64(s.word(1)))
		if atomic.LoadUint64(s.word(0)) == id {
			return id, ran
		}
	}
}

func (s *stamp) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	unix.Munmap(s.page)
	s.page = nil
	s.file.Close()
}

// serveAsks answers probes on a listener until it is closed.
func serveAsks(ln net.Listener, ring *keyring, state func() answer, drop func(string)) {
	places := make(chan struct{}, doorConns)
	accept := netutil.Acceptor{Listener: ln}
	for {
		conn, err := accept.Accept()
		if err != nil {
			return
		}
		select {
		case places <- struct{}{}:
		default:
			conn.Close()
			continue
		}
		go func() {
			defer func() { conn.Close(); <-places }()
			conn.SetDeadline(time.Now().Add(doorTime))
			keys := ring.get()
			var q ask
			if err := readFrame(conn, keys, &q); err != nil {
				var broken net.Error
				switch {
				case errors.Is(err, io.EOF):
				case errors.As(err, &broken) || errors.Is(err, io.ErrUnexpectedEOF): // its text has addresses in it, and reasons are counted
					drop(errBroken.Error())
				default:
					drop(err.Error())
				}
				return
			}
			a := state()
			a.Nonce = q.Nonce
			writeFrame(conn, keys, a)
		}()
	}
}

// door answers the others' probes: by a guard, or by this process itself.
type door struct {
	c  *Cluster
	ln *net.TCPListener
}

func newDoor(c *Cluster, ln *net.TCPListener) *door { return &door{c: c, ln: ln} }

// run serves until ctx is over. A guard that ends is started again; meanwhile calls
// wait with the kernel.
func (d *door) run(ctx context.Context) {
	if len(d.c.opts.GuardArgs) == 0 {
		go serveAsks(d.ln, d.c.ring, func() answer {
			id, _ := d.c.stamp.get()
			return answer{ID: id}
		}, d.c.drop)
		<-ctx.Done()
		d.ln.Close()
		return
	}
	for ctx.Err() == nil {
		if err := d.guard(ctx); err != nil && ctx.Err() == nil {
			d.c.log.Error("cluster: guard", "err", err)
		}
		t := time.NewTimer(guardPause)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// guard runs one guard until it ends.
func (d *door) guard(ctx context.Context) error {
	f, err := d.ln.File()
	if err != nil {
		return err
	}
	defer f.Close()
	cmd := exec.CommandContext(ctx, exe(), d.c.opts.GuardArgs...)
	cmd.Args = append(cmd.Args, "--lease", d.c.opts.Lease.String(), "--key-file", d.c.opts.KeyFile)
	cmd.ExtraFiles = []*os.File{f, d.c.stamp.file}
	cmd.Env = append(os.Environ(), "GOMEMLIMIT=16MiB", "GOMAXPROCS=1")
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // signals from a terminal are not for it
	alive, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	defer alive.Close()
	return cmd.Wait()
}

func (d *door) close() { d.ln.Close() }

// RunGuard is the life of a guard: it has the listener as its third descriptor and the
// stamp as its fourth, and ends when its standard input does.
func RunGuard(lease time.Duration, keyFile string) error {
	ln, err := net.FileListener(os.NewFile(3, "listener"))
	if err != nil {
		return fmt.Errorf("guard: %w", err)
	}
	unix.CloseOnExec(3)
	s, err := mapStamp(os.NewFile(4, "stamp"))
	if err != nil {
		return fmt.Errorf("guard: %w", err)
	}
	ring, err := newKeyring(keyFile, slog.New(slog.DiscardHandler)) // its sender says what there is to say
	if err != nil {
		return fmt.Errorf("guard: %w", err)
	}
	go serveAsks(ln, ring, func() answer {
		id, ran := s.get()
		return answer{ID: id, Over: now()-ran > 2*lease}
	}, func(string) {})
	var b [binary.MaxVarintLen64]byte
	for {
		if _, err := os.Stdin.Read(b[:]); err != nil {
			os.Exit(0) // at once: with the listener goes the address
		}
	}
}

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
