package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"cometrack/internal/standin/program"
)

// platformSettings are the settings of a small deployment in the form of the platform. newTestPlatform
// replaces max_open.
const platformSettings = `{"balancers":1,"me":0,"zone":0,"zones":["a"],"tick_s":0.005,"membership_mode":"on_request","weights":"nominal",
"over_share_worth":0.2,"machine_types":["std"],"classes":[{"name":"c","aim_s":2,"deadline_s":16,"worth":1,"late_worth":0.4,"idempotency":"retryable"}],
"tenants":[],"limits":{"conn_idle_s":10,"connect_timeout_s":1.5,"max_attempts":6,"max_open":500,"max_retry_after_s":2,"multiplex":1,"may_cancel":true,
"retry_after":true},"rules":{"cold_from":0.2,"drain_grace_s":2,"fall_multiple":2,"fall_s":3,"warm_after_s":14},
"specifics":{"batch_by_kind":[1],"call_slots":60,"late":"halves","separate_routes":[false]}}`

// idleTime is how long an idle sender runs before its CPU time is read.
const idleTime = 2 * time.Second

// killAndReadCPU kills the process and returns the CPU time that it used since its start, in
// milliseconds. The kernel reports it in microseconds at the exit, finer than cpuTime.
func (p *process) killAndReadCPU() float64 {
	p.Cmd.Process.Kill()
	p.Wait()
	return float64((p.Cmd.ProcessState.UserTime() + p.Cmd.ProcessState.SystemTime()).Microseconds()) / 1000
}

// measurePlatform measures the start-up time, CPU time and memory of several programs as
// a sender on the platform, in turns: after the start, and after a number of messages.
func measurePlatform(args []string) error {
	fs := flag.NewFlagSet("platform", flag.ContinueOnError)
	turns := fs.Int("turns", 7, "runs of each program")
	messages := fs.Int("messages", 5000, "messages submitted before memory is read again")
	if err := fs.Parse(args); err != nil {
		return err
	}
	stub, err := startStubPartner()
	if err != nil {
		return err
	}
	known := map[string]any{"generation": 1, "reset": true, "instances": []map[string]any{{
		"instanceId": "s-1", "hostPort": stub.ln.Addr().String(), "zone": "a", "machineType": "std", "cell": 1, "lifecycle": "up", "weight": 0}}}
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/discovery") {
			<-r.Context().Done()
		}
	}))
	defer discovery.Close()
	// The figures of each run of one program: times in milliseconds, memory in MB. usedMB is the resident
	// memory after the messages and ownMB the part of it that is not of files; startCPU is the CPU time until
	// it was ready, and idleCPU the same with idleTime after that.
	type figures struct{ readyTime, freshMB, usedMB, ownMB, startCPU, idleCPU []float64 }
	results := map[string]*figures{}
	for range *turns {
		for _, bin := range fs.Args() {
			if results[bin] == nil {
				results[bin] = &figures{}
			}
			dir, err := os.MkdirTemp("", "measure")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			conf, err := json.Marshal(map[string]any{"name": "n", "listen": "127.0.0.1:0",
				"discovery": strings.TrimPrefix(discovery.URL, "http://"), "seed": "1",
				"limits": map[string]any{"cores": 1, "memory_mb": 32, "sockets": 256, "disk_mb": 3}, "known": known,
				"settings": json.RawMessage(platformSettings)})
			if err != nil {
				return err
			}
			path := filepath.Join(dir, "config.json")
			if err := os.WriteFile(path, conf, 0o600); err != nil {
				return err
			}
			at := time.Now()
			x, err := program.Start(bin, []string{"BALANCER_CONFIG=" + path, "BALANCER_STATE=" + dir,
				"BALANCER_LISTEN=127.0.0.1:0"})
			if err != nil {
				return err
			}
			p := &process{x, dir}
			f := results[bin]
			f.readyTime = append(f.readyTime, float64(time.Since(at).Microseconds())/1000)
			f.freshMB = append(f.freshMB, p.residentMB())
			if err := submitMessages(x.Addrs[0], *messages); err != nil {
				return fmt.Errorf("%s: %w", bin, err)
			}
			f.usedMB, f.ownMB = append(f.usedMB, p.residentMB()), append(f.ownMB, p.anonymousMB())
			p.killAndReadCPU()
			for _, idle := range []time.Duration{0, idleTime} {
				if x, err = program.Start(bin, []string{"BALANCER_CONFIG=" + path, "BALANCER_STATE=" + dir,
					"BALANCER_LISTEN=127.0.0.1:0"}); err != nil {
					return err
				}
				time.Sleep(idle)
				cpu := (&process{x, dir}).killAndReadCPU()
				if idle == 0 {
					f.startCPU = append(f.startCPU, cpu)
				} else {
					f.idleCPU = append(f.idleCPU, cpu)
				}
			}
		}
	}
	median := func(v []float64) float64 {
		slices.Sort(v)
		return v[len(v)/2]
	}
	fmt.Printf("%-28s %14s %14s %20s %12s %22s %22s\n", "program", "ready in, ms", "fresh, MB", "after messages, MB",
		"not of files", "ms of CPU to be ready", "and with 2 s of calm")
	for _, bin := range fs.Args() {
		f := results[bin]
		fmt.Printf("%-28s %14.1f %14.2f %20.2f %12.2f %22.2f %22.2f\n",
			filepath.Base(filepath.Dir(bin))+"/"+filepath.Base(bin), median(f.readyTime), median(f.freshMB), median(f.usedMB),
			median(f.ownMB), median(f.startCPU), median(f.idleCPU))
	}
	return nil
}

// submitMessages submits n messages over RESP2, each after the reply to the one before. It returns an
// error if one is not accepted.
func submitMessages(addr string, n int) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	r := bufio.NewReader(c)
	for i := range n {
		id := fmt.Sprintf("%016x", i)
		opts := "c=c,d=12000,dest=1"
		fmt.Fprintf(c, "*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n", len(id), id, len(opts),
			opts, len(messageBody), messageBody)
		line, err := r.ReadString('\n')
		if err != nil {
			return err
		}
		if !strings.HasPrefix(line, "+OK") {
			return fmt.Errorf("message %d: %q", i, line)
		}
	}
	return nil
}
