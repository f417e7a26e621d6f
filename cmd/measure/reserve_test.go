package main

import (
	"net"
	"testing"
)

func TestReservedRefusesUntilItListens(t *testing.T) {
	r, err := reserve()
	if err != nil {
		t.Fatal(err)
	}
	if c, err := net.Dial("tcp", r.addr); err == nil {
		c.Close()
		t.Error("it takes connections")
	}
	if ln, err := net.Listen("tcp", r.addr); err == nil {
		ln.Close()
		t.Error("others can come by it")
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
