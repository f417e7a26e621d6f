package cluster

import (
	"net"
	"time"
)

// Hooks is what a test rig puts between a sender and the machine, to run many senders
// in a process: each with a clock of its own, and with faults and counts at its
// sockets. A member that is nil leaves what the kernel gives.
type Hooks struct {
	// Now is the sender's clock.
	Now func() time.Duration
	// WrapUDP wraps the socket of datagrams, once it is open.
	WrapUDP func(*net.UDPConn) DatagramConn
	// Dial opens the stream of a probe.
	Dial func(d *net.Dialer, addr string) (net.Conn, error)
}

// DatagramConn is the socket of datagrams, as [net.UDPConn] has it.
type DatagramConn interface {
	ReadFromUDP(b []byte) (int, *net.UDPAddr, error)
	WriteToUDP(b []byte, to *net.UDPAddr) (int, error)
	Close() error
}

// now is the time on this sender's clock.
func (o *Options) now() time.Duration {
	if o.Hooks != nil && o.Hooks.Now != nil {
		return o.Hooks.Now()
	}
	return now()
}

func (o *Options) datagrams(udp *net.UDPConn) DatagramConn {
	if o.Hooks != nil && o.Hooks.WrapUDP != nil {
		return o.Hooks.WrapUDP(udp)
	}
	return udp
}

func (o *Options) dial(d *net.Dialer, addr string) (net.Conn, error) {
	if o.Hooks != nil && o.Hooks.Dial != nil {
		return o.Hooks.Dial(d, addr)
	}
	return d.Dial("tcp", addr)
}

// PacketSize is how many bytes a message of the view takes in a datagram.
func PacketSize(message any) (int, error) {
	b, err := encMode().Marshal(message)
	return len(b) + headSize, err
}

// IsFactsPacket says whether a packet is one of facts; else it is one of the view.
func IsFactsPacket(b []byte) bool { return kindOf(b) == lore }
