package main

import (
	"net"
	"testing"
)

// A process that takes over the address before listen would receive messages meant for the partner.
func TestReservedRefusesUntilItListens(t *testing.T) {
	r, err := reserveAddr()
	if err != nil {
		t.Fatal(err)
	}
	if c, err := net.Dial("tcp", r.addr); err == nil {
		c.Close()
		t.Error("the address accepts connections before listen")
	}
	if ln, err := net.Listen("tcp", r.addr); err == nil {
		ln.Close()
		t.Error("another socket can listen on the address")
	}
	ln, err := r.listen()
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if c, err := net.Dial("tcp", r.addr); err != nil {
		t.Error(err)
	} else {
		c.Close()
	}
}
