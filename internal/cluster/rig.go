package cluster

import (
	"net"
	"time"
)

// Rig is what a test rig puts between a sender and the machine, to run many senders
// in a process: each with a clock of its own, and with faults and counts at its
// sockets. A member that is nil leaves what the kernel gives.
type Rig struct {
	// Now is the sender's clock.
	Now func() time.Duration
	// Datagrams wraps the socket of datagrams, once it is open.
	Datagrams func(*net.UDPConn) Datagrams
	// Dial opens the stream of a probe.
	Dial func(d *net.Dialer, addr string) (net.Conn, error)
}

// Datagrams is the socket of datagrams, as [net.UDPConn] has it.
type Datagrams interface {
	ReadFromUDP(b []byte) (int, *net.UDPAddr, error)
	WriteToUDP(b []byte, to *net.UDPAddr) (int, error)
	Close() error
}

// now is the time on this sender's clock.
func (o *Options) now() time.Duration {
	if o.Rig != nil && o.Rig.Now != nil {
		return o.Rig.Now()
	}
	return now()
}

func (o *Options) datagrams(udp *net.UDPConn) Datagrams {
	if o.Rig != nil && o.Rig.Datagrams != nil {
		return o.Rig.Datagrams(udp)
	}
	return udp
}

func (o *Options) dial(d *net.Dialer, addr string) (net.Conn, error) {
	if o.Rig != nil && o.Rig.Dial != nil {
		return o.Rig.Dial(d, addr)
	}
	return d.Dial("tcp", addr)
}

// PacketSize is how many bytes a message of the view takes in a datagram.
func PacketSize(message any) (int, error) {
	b, err := encMode().Marshal(message)
	return len(b) + headSize, err
}

// IsLore says whether a packet is one of facts; else it is one of the view.
func IsLore(b []byte) bool { return kindOf(b) == lore }
