package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// soReuseport is SO_REUSEPORT on Linux, which package syscall does not name.
const soReuseport = 0xf

// takeoverMethod is one way to replace a listener by another one on the same address.
type takeoverMethod struct {
	name    string                                               // as printed
	replace func(old *net.TCPListener) (*net.TCPListener, error) // closes old and returns the new listener
}

// measureListenerTakeover counts failed connections of clients while listeners replace
// each other, for each way in which a process can take over an address from another.
func measureListenerTakeover(args []string) error {
	fs := flag.NewFlagSet("doors", flag.ContinueOnError)
	turns := fs.Int("turns", 100, "listener changes")
	workers := fs.Int("workers", 16, "clients, each with one connection at a time")
	if err := fs.Parse(args); err != nil {
		return err
	}
	listen := func(addr string, reuse bool) (*net.TCPListener, error) {
		lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
			cerr := raw.Control(func(fd uintptr) {
				if reuse {
					err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReuseport, 1)
				}
			})
			return errors.Join(cerr, err)
		}}
		ln, err := lc.Listen(context.Background(), "tcp", addr)
		if err != nil {
			return nil, err
		}
		return ln.(*net.TCPListener), nil
	}
	for _, d := range []takeoverMethod{
		{"the socket is handed over", func(old *net.TCPListener) (*net.TCPListener, error) {
			f, err := old.File()
			if err != nil {
				return nil, err
			}
			defer f.Close()
			ln, err := net.FileListener(f)
			if err != nil {
				return nil, err
			}
			return ln.(*net.TCPListener), old.Close()
		}},
		{"both listen (SO_REUSEPORT)", func(old *net.TCPListener) (*net.TCPListener, error) {
			ln, err := listen(old.Addr().String(), true)
			if err != nil {
				return nil, err
			}
			return ln, old.Close()
		}},
		{"the new one alone", func(old *net.TCPListener) (*net.TCPListener, error) {
			addr := old.Addr().String()
			if err := old.Close(); err != nil {
				return nil, err
			}
			return listen(addr, true)
		}},
	} {
		ln, err := listen("127.0.0.1:0", true)
		if err != nil {
			return err
		}
		if err := runTakeovers(d, ln, *turns, *workers); err != nil {
			return fmt.Errorf("%s: %w", d.name, err)
		}
	}
	return nil
}

// runTakeovers replaces ln by d turns times while so many workers connect in a loop, and prints
// how many of their connections were answered, refused, or reset without an answer.
func runTakeovers(d takeoverMethod, ln *net.TCPListener, turns, workers int) error {
	serve := func(ln *net.TCPListener) {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				var b [1]byte
				if _, err := io.ReadFull(c, b[:]); err == nil {
					c.Write(b[:])
				}
			}()
		}
	}
	var ok, refused, lost atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	addr := ln.Addr().String()
	go serve(ln)
	for range workers {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				c, err := net.Dial("tcp", addr)
				if err != nil {
					refused.Add(1)
					continue
				}
				c.SetDeadline(time.Now().Add(5 * time.Second))
				var b [1]byte
				c.Write([]byte("x"))
				if _, err := io.ReadFull(c, b[:]); err != nil {
					lost.Add(1)
				} else {
					ok.Add(1)
				}
				c.Close()
			}
		})
	}
	var err error
	for range turns {
		time.Sleep(20 * time.Millisecond)
		if ln, err = d.replace(ln); err != nil {
			break
		}
		go serve(ln)
	}
	close(stop)
	clients.Wait()
	if err == nil {
		ln.Close()
		fmt.Printf("%-28s %d changes: %d answered, %d refused, %d reset or unread\n",
			d.name, turns, ok.Load(), refused.Load(), lost.Load())
	}
	return err
}
