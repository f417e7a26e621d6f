package capacity

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"cometrack/internal/standin/fleet"
)

// sendersSource is the origin of the target of all slopes by the number of senders.
const sendersSource = "560 senders, each of which knows all others"

// headerBytes is the size of the IPv4 and UDP headers of a datagram.
const headerBytes = 28

// sendersBench returns the bench that runs real processes that know of each other and have no other
// load; its size is the number of senders.
func sendersBench() Bench {
	q := func(name, measures, unit string, bound float64, why string) Quantity {
		return Quantity{Slope: Slope{Name: "senders-" + name, Measures: measures, Unit: unit, Target: fleetSenders,
			Bound: bound, Source: sendersSource + "; " + why}}
	}
	return Bench{Name: "senders", Way: Processes, SizeOf: "senders that know of each other, calm", Sizes: []int{3, 6, 12, 24, 48},
		Quantities: []Quantity{
			q("bytes", "sent by each in datagrams with their heads", "bytes a second", controlBytesPerSecond,
				"14 KB a second for control"),
			q("datagrams", "datagrams sent by each", "a second", 0, "no bound is given"),
			q("cpu", "processor time of each with its guard", "% of a core", controlCorePercent,
				"1.6% of a core for control"),
			q("memory", "memory of each with its guard that is not of files", "MB", controlMB, "128 MB for control"),
		}, Run: runSenders}
}

// runSenders measures a fleet of size senders. It returns the values for each sender in the order of the
// quantities of sendersBench.
func runSenders(r *Setup, size int) ([]float64, error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	lease := "3s"
	if r.Minimal {
		lease = "500ms"
	}
	bin, err := filepath.Abs(r.Program)
	if err != nil {
		return nil, err
	}
	f, err := fleet.Start(fleet.Options{Program: bin, Dir: dir, Senders: size, Cluster: fmt.Sprintf("lease = %q", lease),
		Config: "[[partner]]\nname = \"acme\"\nendpoints = [\"127.0.0.1:9\"]\nrate = 100\n"})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if took, ok := f.WaitUntil(90*time.Second, fleet.AllReachable); !ok {
		return nil, fmt.Errorf("%d senders did not all reach each other within %v", size, took)
	}
	time.Sleep(r.ObservationTime) // the last messages of joining
	var pids []int
	for _, s := range f.Senders() {
		pids = append(pids, s.PID())
		pids = append(pids, childProcesses(s.PID())...)
	}
	total := func() (cpu time.Duration, mb float64) {
		for _, pid := range pids {
			cpu += processCPU(pid)
			mb += procStatusMB(pid, "RssAnon:")
		}
		return cpu, mb
	}
	cpu, _ := total()
	sent, bytes := f.Forwarded()
	from := time.Now()
	time.Sleep(4 * r.ObservationTime)
	after, mb := total()
	span, n := time.Since(from).Seconds(), float64(size)
	sentAfter, bytesAfter := f.Forwarded()
	datagrams := float64(sentAfter - sent)
	return []float64{(float64(bytesAfter-bytes) + headerBytes*datagrams) / span / n, datagrams / span / n,
		100 * (after - cpu).Seconds() / span / n, mb / n}, nil
}

// childProcesses returns the process IDs of the running children of a process.
func childProcesses(pid int) (out []int) {
	tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", pid))
	for _, t := range tasks {
		text, _ := os.ReadFile(t)
		for _, child := range strings.Fields(string(text)) {
			if id, err := strconv.Atoi(child); err == nil {
				out = append(out, id)
			}
		}
	}
	return out
}
