// Command clusterbench is hashicorp/memberlist as it comes, behind the file and the
// console of a sender, so that `measure cluster --bin` plays the same faults on it.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/pelletier/go-toml/v2"

	"cometrack/internal/view"
)

// file is what of a sender's file matters here.
type file struct {
	Name    string
	Console struct{ Listen string }
	Cluster struct {
		Listen, Advertise string
		Join              []string
		Suspicion         int `toml:"suspicion"` // memberlist's SuspicionMult; 0 for its default
		Lease             string
	}
}

// seen is what the engine says of the others.
type seen struct {
	mu    sync.Mutex
	state map[string]string
}

func (s *seen) set(name, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state[name] = state
}

func (s *seen) NotifyJoin(n *memberlist.Node)   { s.set(n.Name, "here") }
func (s *seen) NotifyUpdate(n *memberlist.Node) { s.set(n.Name, "here") }
func (s *seen) NotifyLeave(n *memberlist.Node) {
	if n.State == memberlist.StateLeft {
		s.set(n.Name, "left")
		return
	}
	s.set(n.Name, "gone")
}

// transport is the engine's own, with streams that come from the sender's address:
// the rig tells senders apart by it.
type transport struct {
	*memberlist.NetTransport
	from net.IP
}

func (t *transport) DialTimeout(addr string, d time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: d, LocalAddr: &net.TCPAddr{IP: t.from}}
	return dialer.Dial("tcp", addr)
}

func (t *transport) DialAddressTimeout(a memberlist.Address, d time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, d)
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "clusterbench:", err)
		os.Exit(1)
	}
}

func run() error {
	flags := flag.NewFlagSet("serve", flag.ContinueOnError)
	path := flags.String("config", "", "the file of a sender")
	if len(os.Args) < 2 || os.Args[1] != "serve" {
		return fmt.Errorf("usage: clusterbench serve --config FILE")
	}
	if err := flags.Parse(os.Args[2:]); err != nil {
		return err
	}
	text, err := os.ReadFile(*path)
	if err != nil {
		return err
	}
	var f file
	if err := toml.Unmarshal(text, &f); err != nil {
		return err
	}
	split := func(addr string) (string, int) {
		host, port, _ := net.SplitHostPort(addr)
		n, _ := strconv.Atoi(port)
		return host, n
	}
	all := &seen{state: map[string]string{}}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Events, c.LogOutput = f.Name, all, io.Discard
	c.BindAddr, c.BindPort = split(f.Cluster.Listen)
	c.AdvertiseAddr, c.AdvertisePort = split(f.Cluster.Advertise)
	if f.Cluster.Suspicion > 0 {
		c.SuspicionMult = f.Cluster.Suspicion
	}
	own, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{c.BindAddr}, BindPort: c.BindPort,
		Logger: log.New(io.Discard, "", 0)})
	if err != nil {
		return err
	}
	c.Transport = &transport{own, net.ParseIP(c.BindAddr)}
	list, err := memberlist.Create(c)
	if err != nil {
		return err
	}
	others := []string{}
	for _, a := range f.Cluster.Join {
		if a != f.Cluster.Advertise {
			others = append(others, a)
		}
	}
	go func() { // until one is met; the engine does not try again by itself
		for list.NumMembers() < 2 {
			list.Join(others)
			time.Sleep(500 * time.Millisecond)
		}
	}()
	http.HandleFunc("/cluster", func(w http.ResponseWriter, _ *http.Request) {
		s := view.Status{Name: f.Name, Addr: f.Cluster.Advertise, State: "here"}
		all.mu.Lock()
		for name, state := range all.state {
			if name != f.Name {
				s.Peers = append(s.Peers, view.PeerStatus{Name: name, State: state})
			}
		}
		all.mu.Unlock()
		s.Share = 1 / float64(1+len(s.Peers)) // it knows nothing of shares; the cases ask for their sum
		json.NewEncoder(w).Encode(s)
	})
	ln, err := net.Listen("tcp", f.Console.Listen)
	if err != nil {
		return err
	}
	fmt.Fprintln(os.Stderr, "msg=ready")
	return http.Serve(ln, nil)
}
