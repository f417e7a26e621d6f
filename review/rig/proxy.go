package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy passes connections on to an address until they fall silent.
type proxy struct {
	ln net.Listener
	to string

	mu    sync.Mutex
	pairs map[*pair]bool
}

// pair is a connection through a proxy.
type pair struct {
	near, far net.Conn
	silent    atomic.Bool // nothing passes any more, and neither side learns of it
}

func newProxy(to string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, to: to, pairs: map[*pair]bool{}}
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(near)
		}
	}()
	return p, nil
}

func (p *proxy) addr() string { return p.ln.Addr().String() }

func (p *proxy) serve(near net.Conn) {
	defer near.Close()
	far, err := net.DialTimeout("tcp", p.to, time.Second)
	if err != nil {
		return
	}
	x := &pair{near: near, far: far}
	p.mu.Lock()
	p.pairs[x] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { x.copy(far, near) })
	both.Go(func() { x.copy(near, far) })
	both.Wait()
	far.Close()
	p.mu.Lock()
	delete(p.pairs, x)
	p.mu.Unlock()
}

// copy passes bytes on. On a silent connection it drops them, and the end of one side does not reach the other.
func (x *pair) copy(to, from net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if n > 0 && !x.silent.Load() {
			to.Write(b[:n])
		}
		if err != nil {
			if !x.silent.Load() || from == x.near { // what the sender closes is of no more use to anybody
				x.near.Close()
				x.far.Close()
			}
			return
		}
	}
}

// silence makes all open connections fall silent, and returns their number. New ones are not affected.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for x := range p.pairs {
		x.silent.Store(true)
	}
	return len(p.pairs)
}

var _ io.Closer = (*proxy)(nil)

// Close stops accepting connections.
func (p *proxy) Close() error { return p.ln.Close() }
