package soak

import (
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// The judge reports a process that used more than a limit, and none that used as much as the limit.
func TestJudgeOfUsage(t *testing.T) {
	start := time.Now()
	at := start.Add(1500 * time.Millisecond)
	sockets, memory := senderLimits.Sockets, senderLimits.MemoryMB*bytesPerMB
	for name, x := range map[string]struct {
		sockets, memory int
		want            string // part of the rules; empty for none
	}{
		"no sample":         {0, 0, ""},
		"both at the limit": {sockets, memory, ""},
		"a socket more":     {sockets + 1, memory, "257 open sockets, with a limit of 256"},
		"a byte more": {sockets, memory + 1,
			"134217729 bytes of resident memory, with a limit of 128 MB"},
		"much memory": {1, 2 * memory, "268435456 bytes of resident memory"},
		"both over": {sockets + 44, memory + memory/2,
			"300 open sockets, with a limit of 256; 201326592 bytes of resident memory, " +
				"with a limit of 128 MB"},
	} {
		r := newRecords()
		r.addUsage(usage{sender: 1, pid: 10, sockets: peak{1, start}, memory: peak{1, start}})
		r.addUsage(usage{sender: 3, pid: 20, sockets: peak{x.sockets, at}, memory: peak{x.memory, at}})
		verdict := r.judge(start, repeatWindow, time.Hour)
		var rules []string
		for _, v := range verdict.Violations {
			rules = append(rules, v.Rule)
			if v.History != "sender 3, process 20, at 1.500" {
				t.Errorf("%s: history %q", name, v.History)
			}
		}
		if got := strings.Join(rules, "; "); (x.want == "") != (got == "") || !strings.Contains(got, x.want) {
			t.Errorf("%s: %q, want %q", name, got, x.want)
		}
		if verdict.MostSockets != max(x.sockets, 1) || verdict.MostMemory != max(x.memory, 1) {
			t.Errorf("%s: at most %d sockets and %d bytes", name, verdict.MostSockets, verdict.MostMemory)
		}
	}
}

// Each process has its own usage: those of a sender are neither added up nor mixed.
func TestJudgeOfUsagePerProcess(t *testing.T) {
	at := time.Now()
	r := newRecords()
	for pid := range 4 {
		r.addUsage(usage{sender: 0, pid: pid, sockets: peak{senderLimits.Sockets, at},
			memory: peak{senderLimits.MemoryMB << 20, at}})
	}
	if got := r.judge(at, repeatWindow, 0).Violations; len(got) > 0 {
		t.Errorf("violations %v, want none", got)
	}
}

// A peak keeps the first time of the highest value.
func TestPeak(t *testing.T) {
	at := time.Now()
	var p peak
	for i, value := range []int{3, 7, 7, 5} {
		p.add(value, at.Add(time.Duration(i)))
	}
	if want := (peak{7, at.Add(1)}); p != want {
		t.Errorf("%v, want %v", p, want)
	}
}

// The sampler counts the sockets of a process and no other descriptors, keeps the highest number, and
// reports a process that is gone.
func TestUsageSampler(t *testing.T) {
	const opened = 20
	u := newUsageSampler(0, os.Getpid())
	sample := func() {
		t.Helper()
		if err := u.sample(); err != nil {
			t.Fatal(err)
		}
	}
	sample()
	before := u.sockets.value
	var sockets []net.PacketConn
	for range opened {
		socket, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer socket.Close()
		sockets = append(sockets, socket)
		file, err := os.Open(os.DevNull)
		if err != nil {
			t.Fatal(err)
		}
		defer file.Close()
	}
	sample()
	for _, socket := range sockets {
		socket.Close()
	}
	sample()
	if got := u.sockets.value - before; got != opened {
		t.Errorf("%d more sockets, want %d", got, opened)
	}
	const noProcess = 1 << 30 // over the kernel's limit of process numbers
	if err := newUsageSampler(0, noProcess).sample(); err == nil {
		t.Error("no error for a process that is gone")
	}
}

// The sampler sees memory that the process writes to, in bytes.
func TestUsageSamplerMemory(t *testing.T) {
	const (
		allocated = 64 * bytesPerMB
		slack     = 16 * bytesPerMB // what the runtime may give back to the system meanwhile
	)
	u := newUsageSampler(0, os.Getpid())
	if err := u.sample(); err != nil {
		t.Fatal(err)
	}
	before := u.memory.value
	written, err := syscall.Mmap(-1, 0, allocated, syscall.PROT_READ|syscall.PROT_WRITE,
		syscall.MAP_PRIVATE|syscall.MAP_ANON) // the heap could reuse memory that is resident already
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Munmap(written)
	for i := range written {
		written[i] = 1
	}
	if err := u.sample(); err != nil {
		t.Fatal(err)
	}
	if more := u.memory.value - before; more < allocated-slack {
		t.Errorf("%d more bytes after %d were written", more, allocated)
	}
}
