package cluster

import (
	"net"
	"time"
)

// Hooks replace the clock and the sockets of a sender in tests that run many senders in one process:
// each with its own clock, and with faults and counters at its sockets. A nil field selects the
// implementation of the kernel.
type Hooks struct {
	// Now reads the sender's clock.
	Now func() time.Duration
	// WrapUDP wraps the UDP socket after it was opened.
	WrapUDP func(*net.UDPConn) DatagramConn
	// Dial opens the TCP connection of a probe.
	Dial func(d *net.Dialer, addr string) (net.Conn, error)
}

// DatagramConn is the part of [net.UDPConn] that a sender uses.
type DatagramConn interface {
	ReadFromUDP(b []byte) (int, *net.UDPAddr, error)
	WriteToUDP(b []byte, to *net.UDPAddr) (int, error)
	Close() error
}

// now returns the time on the sender's clock.
func (o *Options) now() time.Duration {
	if o.Hooks != nil && o.Hooks.Now != nil {
		return o.Hooks.Now()
	}
	return now()
}

// datagrams returns the UDP socket, wrapped by the hook if there is one.
func (o *Options) datagrams(udp *net.UDPConn) DatagramConn {
	if o.Hooks != nil && o.Hooks.WrapUDP != nil {
		return o.Hooks.WrapUDP(udp)
	}
	return udp
}

// dial opens the TCP connection of a probe.
func (o *Options) dial(d *net.Dialer, addr string) (net.Conn, error) {
	if o.Hooks != nil && o.Hooks.Dial != nil {
		return o.Hooks.Dial(d, addr)
	}
	return d.Dial("tcp", addr)
}

// PacketSize returns the size of a message of the view as a packet, in bytes.
func PacketSize(message any) (int, error) {
	payload, err := encMode().Marshal(message)
	return len(payload) + headerSize, err
}

// IsFactsPacket reports whether a packet carries facts; otherwise it belongs to the view.
func IsFactsPacket(packet []byte) bool { return magicOf(packet) == factsMagic }
