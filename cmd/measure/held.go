package main

import (
	"bytes"
	"flag"
	"fmt"
	"time"

	"cometrack/internal/standin/traffic"
)

// measurePending measures the memory and CPU time of messages that are pending for a
// partner in outage, with their bodies in memory and on disk, in turns.
func measurePending(args []string) error {
	fs := flag.NewFlagSet("held", flag.ContinueOnError)
	bin := fs.String("bin", "bin/cometrack", "the daemon")
	messages := fs.Int("messages", 20_000, "number of pending messages")
	bodySize := fs.Int("body", 4000, "bytes of a body")
	turns := fs.Int("turns", 3, "runs with bodies in memory and on disk each")
	if err := fs.Parse(args); err != nil {
		return err
	}
	for range *turns {
		for _, inMemory := range []int{64 << 10, 1024} {
			if err := submitPending(*bin, *messages, *bodySize, inMemory); err != nil {
				return err
			}
		}
	}
	return nil
}

// submitPending submits messages with bodies of bodySize bytes for a partner that refuses
// connections, and prints the memory and CPU time that they take. Bodies of up to inMemory
// bytes stay in memory, larger ones on disk.
func submitPending(bin string, messages, bodySize, inMemory int) error {
	config := fmt.Sprintf("[limits]\nopen_messages = %d\ndisk_mb = 1000\nmemory_mb = 1000\n[store]\nsync = \"never\"\nbody_in_memory = %d\n"+
		"[front.resp]\nlisten = \"127.0.0.1:0\"\n[[partner]]\nname = \"p0\"\nendpoints = [\"127.0.0.1:1\"]\n", messages,
		inMemory)
	p, err := startDaemon(bin, config)
	if err != nil {
		return err
	}
	defer p.stop()
	c, err := traffic.DialRESP(p.Addrs[0])
	if err != nil {
		return err
	}
	defer c.Close()
	freshMB, body := p.residentMB(), bytes.Repeat([]byte("x"), bodySize)
	start, cpu, accepted := time.Now(), p.cpuTime(), 0
	const pipeline = 16
	for at := 0; at < messages; at += pipeline {
		for i := range pipeline {
			if err := c.Put("0", fmt.Sprint("m", at+i), "c=safe,d=100000,dest=p0", body); err != nil {
				return err
			}
		}
		for range pipeline {
			line, err := c.Answer()
			if err != nil {
				return err
			}
			if line == "+OK" {
				accepted++
			}
		}
	}
	elapsed := time.Since(start)
	fmt.Printf("body_in_memory %d: %d of %d taken on in %.1f s with %.1f s of CPU; %.1f MB resident, %.1f MB fresh, %.0f bytes for each\n",
		inMemory, accepted, messages, elapsed.Seconds(), (p.cpuTime() - cpu).Seconds(), p.residentMB(), freshMB,
		(p.residentMB()-freshMB)*(1<<20)/float64(max(accepted, 1)))
	return nil
}
