// Command clusterbench runs hashicorp/memberlist with its defaults behind the
// configuration file and the console of a sender, so that `measure cluster --bin` can
// run the same faults on it.
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

// senderConfig is the part of a sender's configuration file that memberlist needs.
type senderConfig struct {
	Name    string
	Console struct{ Listen string }
	Cluster struct {
		Listen, Advertise string
		Join              []string
		Suspicion         int `toml:"suspicion"` // SuspicionMult of memberlist; 0 for its default
		Lease             string
	}
}

// memberStates holds the state of each member as memberlist reports it. It implements
// memberlist.EventDelegate.
type memberStates struct {
	mu     sync.Mutex
	byName map[string]string // "here", "gone" or "left"
}

func (s *memberStates) set(name, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byName[name] = state
}

func (s *memberStates) NotifyJoin(n *memberlist.Node)   { s.set(n.Name, "here") }
func (s *memberStates) NotifyUpdate(n *memberlist.Node) { s.set(n.Name, "here") }
func (s *memberStates) NotifyLeave(n *memberlist.Node) {
	if n.State == memberlist.StateLeft {
		s.set(n.Name, "left")
		return
	}
	s.set(n.Name, "gone")
}

// boundTransport is memberlist's own transport with streams that start at the sender's
// address: the test rig identifies senders by their source address.
type boundTransport struct {
	*memberlist.NetTransport
	localIP net.IP
}

func (t *boundTransport) DialTimeout(addr string, d time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: d, LocalAddr: &net.TCPAddr{IP: t.localIP}}
	return dialer.Dial("tcp", addr)
}

func (t *boundTransport) DialAddressTimeout(a memberlist.Address, d time.Duration) (net.Conn, error) {
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
	path := flags.String("config", "", "configuration file of a sender")
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
	var config senderConfig
	if err := toml.Unmarshal(text, &config); err != nil {
		return err
	}
	split := func(addr string) (string, int) {
		host, port, _ := net.SplitHostPort(addr)
		n, _ := strconv.Atoi(port)
		return host, n
	}
	members := &memberStates{byName: map[string]string{}}
	options := memberlist.DefaultLANConfig()
	options.Name, options.Events, options.LogOutput = config.Name, members, io.Discard
	options.BindAddr, options.BindPort = split(config.Cluster.Listen)
	options.AdvertiseAddr, options.AdvertisePort = split(config.Cluster.Advertise)
	if config.Cluster.Suspicion > 0 {
		options.SuspicionMult = config.Cluster.Suspicion
	}
	base, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{options.BindAddr}, BindPort: options.BindPort,
		Logger: log.New(io.Discard, "", 0)})
	if err != nil {
		return err
	}
	options.Transport = &boundTransport{base, net.ParseIP(options.BindAddr)}
	list, err := memberlist.Create(options)
	if err != nil {
		return err
	}
	peers := []string{}
	for _, a := range config.Cluster.Join {
		if a != config.Cluster.Advertise {
			peers = append(peers, a)
		}
	}
	go func() { // until a first peer is joined, since memberlist does not retry Join
		for list.NumMembers() < 2 {
			list.Join(peers)
			time.Sleep(500 * time.Millisecond)
		}
	}()
	http.HandleFunc("/cluster", func(w http.ResponseWriter, _ *http.Request) {
		status := view.Status{Name: config.Name, Addr: config.Cluster.Advertise, State: "here"}
		members.mu.Lock()
		for name, state := range members.byName {
			if name != config.Name {
				status.Peers = append(status.Peers, view.PeerStatus{Name: name, State: state})
			}
		}
		members.mu.Unlock()
		status.Share = 1 / float64(1+len(status.Peers)) // memberlist has no shares, but the cases check their sum
		json.NewEncoder(w).Encode(status)
	})
	ln, err := net.Listen("tcp", config.Console.Listen)
	if err != nil {
		return err
	}
	fmt.Fprintln(os.Stderr, "msg=ready")
	return http.Serve(ln, nil)
}
