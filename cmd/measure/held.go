package main

import (
	"bytes"
	"flag"
	"fmt"
	"time"

	"cometrack/internal/standin/traffic"
)

// held measures what messages cost that wait for a partner which is out, with
// their bodies in memory and on the disk, in turns.
func held(args []string) error {
	fs := flag.NewFlagSet("held", flag.ContinueOnError)
	bin := fs.String("bin", "bin/cometrack", "the daemon")
	most := fs.Int("messages", 20_000, "messages that are held")
	size := fs.Int("body", 4000, "bytes of a body")
	turns := fs.Int("turns", 3, "how often each way is measured")
	if err := fs.Parse(args); err != nil {
		return err
	}
	for range *turns {
		for _, inMemory := range []int{64 << 10, 1024} {
			if err := holdMany(*bin, *most, *size, inMemory); err != nil {
				return err
			}
		}
	}
	return nil
}

func holdMany(bin string, most, size, inMemory int) error {
	text := fmt.Sprintf("[limits]\nopen_messages = %d\ndisk_mb = 1000\nmemory_mb = 1000\n[store]\nsync = \"never\"\nbody_in_memory = %d\n"+
		"[front.resp]\nlisten = \"127.0.0.1:0\"\n[[partner]]\nname = \"p0\"\nendpoints = [\"127.0.0.1:1\"]\n", most, inMemory)
	p, err := startDaemon(bin, text)
	if err != nil {
		return err
	}
	defer p.stop()
	c, err := traffic.DialRESP(p.Addrs[0])
	if err != nil {
		return err
	}
	defer c.Close()
	fresh, body := p.memory(), bytes.Repeat([]byte("x"), size)
	start, cpu, taken := time.Now(), p.cpu(), 0
	const pipelined = 16
	for at := 0; at < most; at += pipelined {
		for i := range pipelined {
			if err := c.Put("0", fmt.Sprint("m", at+i), "c=safe,d=100000,dest=p0", body); err != nil {
				return err
			}
		}
		for range pipelined {
			line, err := c.Answer()
			if err != nil {
				return err
			}
			if line == "+OK" {
				taken++
			}
		}
	}
	took := time.Since(start)
	fmt.Printf("body_in_memory %d: %d of %d taken on in %.1f s with %.1f s of CPU; %.1f MB resident, %.1f MB fresh, %.0f bytes for each\n",
		inMemory, taken, most, took.Seconds(), (p.cpu() - cpu).Seconds(), p.memory(), fresh, (p.memory()-fresh)*(1<<20)/float64(max(taken, 1)))
	return nil
}
