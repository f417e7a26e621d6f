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

// A guard is a second process of a sender that answers the probes of peers. It reports an
// incarnation that has not run for two leases as ended: a step that began within the first lease
// detects the pause when it ends, and any later step detects it before it begins. This tells a
// paused sender from one that is cut off. The guard ends with its sender; the address then refuses
// connections.

// Limits of a probe server.
const (
	maxProbeConns     = 64          // probes answered at once
	probeServeTimeout = time.Second // for one probe
	guardRestartDelay = time.Second // before a guard that exited is restarted
)

// livenessPage is a memory page that a sender and its guard share. It holds the ID of the running
// incarnation and the time of its last step.
type livenessPage struct {
	file *os.File
	mu   sync.RWMutex // guards page against close
	page []byte       // nil after close; a probe may still be in progress then
}

const livenessPageSize = 4096

// openLivenessPage creates or opens the file of the page in a folder and maps it.
func openLivenessPage(dir string) (*livenessPage, error) {
	file, err := os.OpenFile(filepath.Join(dir, "cluster.stamp"), os.O_CREATE|os.O_RDWR, 0o600)
	if err == nil {
		if err = file.Truncate(livenessPageSize); err != nil {
			file.Close()
		}
	}
	if err != nil {
		return nil, err
	}
	return mapLivenessPage(file)
}

// mapLivenessPage maps the page of an open file. It closes the file on an error.
func mapLivenessPage(file *os.File) (*livenessPage, error) {
	page, err := unix.Mmap(int(file.Fd()), 0, livenessPageSize, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		file.Close()
		return nil, fmt.Errorf("map cluster.stamp: %w", err)
	}
	return &livenessPage{file: file, page: page}, nil
}

// word returns the address of the word with index i.
func (p *livenessPage) word(i int) *uint64 { return (*uint64)(unsafe.Pointer(&p.page[8*i])) }

// set stores the ID of the incarnation and the time of its last step.
func (p *livenessPage) set(id uint64, lastStep time.Duration) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if p.page == nil {
		return
	}
	atomic.StoreUint64(p.word(0), id)
	atomic.StoreUint64(p.word(1), uint64(lastStep))
}

// get returns a consistent pair of incarnation ID and time of the last step. The ID is 0 after close;
// no incarnation has that ID.
func (p *livenessPage) get() (id uint64, lastStep time.Duration) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if p.page == nil {
		return 0, 0
	}
	for {
		id = atomic.LoadUint64(p.word(0))
		lastStep = time.Duration(atomic.LoadUint64(p.word(1)))
		if atomic.LoadUint64(p.word(0)) == id {
			return id, lastStep
		}
	}
}

// close unmaps the page; set and get do nothing afterwards.
func (p *livenessPage) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	unix.Munmap(p.page)
	p.page = nil
	p.file.Close()
}

// serveProbes answers probes on a listener until it is closed.
func serveProbes(ln net.Listener, ring *keyring, state func() probeResponse, drop func(string)) {
	slots := make(chan struct{}, maxProbeConns)
	acceptor := netutil.Acceptor{Listener: ln}
	for {
		conn, err := acceptor.Accept()
		if err != nil {
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			conn.Close()
			continue
		}
		go func() {
			defer func() { conn.Close(); <-slots }()
			conn.SetDeadline(time.Now().Add(probeServeTimeout))
			keys := ring.current()
			var request probeRequest
			if err := readFrame(conn, keys, &request); err != nil {
				var broken net.Error
				switch {
				case errors.Is(err, io.EOF):
				case errors.As(err, &broken) || errors.Is(err, io.ErrUnexpectedEOF):
					// Drops are counted by reason, so that the addresses in the error text must not be part of it.
					drop(errProbeAborted.Error())
				default:
					drop(err.Error())
				}
				return
			}
			response := state()
			response.Nonce = request.Nonce
			writeFrame(conn, keys, response)
		}()
	}
}

// probeServer answers the probes of peers, by a guard or in this process.
type probeServer struct {
	cluster *Cluster
	ln      *net.TCPListener
}

// newProbeServer returns a server that accepts probes on ln.
func newProbeServer(c *Cluster, ln *net.TCPListener) *probeServer {
	return &probeServer{cluster: c, ln: ln}
}

// run serves probes until ctx is done. A guard that exits is restarted; meanwhile connections wait in
// the listen queue of the kernel.
func (p *probeServer) run(ctx context.Context) {
	if len(p.cluster.opts.GuardArgs) == 0 {
		go serveProbes(p.ln, p.cluster.keyring, func() probeResponse {
			id, _ := p.cluster.liveness.get()
			return probeResponse{ID: id}
		}, p.cluster.countDropped)
		<-ctx.Done()
		p.ln.Close()
		return
	}
	for ctx.Err() == nil {
		if err := p.runGuardProcess(ctx); err != nil && ctx.Err() == nil {
			p.cluster.log.Error("cluster: guard", "err", err)
		}
		restart := time.NewTimer(guardRestartDelay)
		select {
		case <-ctx.Done():
		case <-restart.C:
		}
		restart.Stop()
	}
}

// runGuardProcess starts a guard and waits until it exits.
func (p *probeServer) runGuardProcess(ctx context.Context) error {
	listenerFile, err := p.ln.File()
	if err != nil {
		return err
	}
	defer listenerFile.Close()
	cmd := exec.CommandContext(ctx, executablePath(), p.cluster.opts.GuardArgs...)
	cmd.Args = append(cmd.Args, "--lease", p.cluster.opts.Lease.String(), "--key-file", p.cluster.opts.KeyFile)
	cmd.ExtraFiles = []*os.File{listenerFile, p.cluster.liveness.file}
	cmd.Env = append(os.Environ(), "GOMEMLIMIT=16MiB", "GOMAXPROCS=1")
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // own process group: terminal signals must not reach it
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	defer stdin.Close()
	return cmd.Wait()
}

// close closes the listener.
func (p *probeServer) close() { p.ln.Close() }

// RunGuard is the main function of the guard process. It inherits the listener as descriptor 3 and
// the liveness page as descriptor 4, and exits when its standard input is closed.
func RunGuard(lease time.Duration, keyFile string) error {
	ln, err := net.FileListener(os.NewFile(3, "listener"))
	if err != nil {
		return fmt.Errorf("guard: %w", err)
	}
	unix.CloseOnExec(3)
	liveness, err := mapLivenessPage(os.NewFile(4, "stamp"))
	if err != nil {
		return fmt.Errorf("guard: %w", err)
	}
	ring, err := newKeyring(keyFile, slog.New(slog.DiscardHandler)) // the sender logs errors of the key file
	if err != nil {
		return fmt.Errorf("guard: %w", err)
	}
	go serveProbes(ln, ring, func() probeResponse {
		id, lastStep := liveness.get()
		return probeResponse{ID: id, Ended: now()-lastStep > 2*lease}
	}, func(string) {})
	var buf [binary.MaxVarintLen64]byte
	for {
		if _, err := os.Stdin.Read(buf[:]); err != nil {
			os.Exit(0) // immediately: the listener, and with it the address, is released
		}
	}
}

// isConnectionRefused reports whether the peer refused the connection.
func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
