package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"cometrack/internal/standin/program"
)

// process is a daemon under measurement.
type process struct {
	*program.Program        // running and ready
	dir              string // temporary folder that holds its configuration and its state
}

// startDaemon starts the daemon at path bin with a configuration whose listeners use free
// ports, and with further flags of its command line. It puts the configuration and the state
// into a temporary folder, which stop removes, and returns when the daemon is ready.
func startDaemon(bin, config string, flags ...string) (*process, error) {
	dir, err := os.MkdirTemp("", "measure")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "config.toml")
	if err := os.WriteFile(path, []byte(fmt.Sprintf("state = %q\n", filepath.Join(dir, "state"))+config),
		0o600); err != nil {
		return nil, err
	}
	p, err := program.Start(bin, nil, append([]string{"serve", "--config", path}, flags...)...)
	if err != nil {
		return nil, err
	}
	return &process{p, dir}, nil
}

// stop ends the daemon with SIGTERM and removes its folder.
func (p *process) stop() {
	p.Signal(syscall.SIGTERM)
	p.Wait()
	os.RemoveAll(p.dir)
}

// cpuTime returns the CPU time that the daemon has used; 0 if it can't be read.
func (p *process) cpuTime() time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(b), ") ") // the name of the program may contain spaces
	f := strings.Fields(rest)
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * 10 * time.Millisecond // USER_HZ is 100 on Linux
}

// residentMB returns the daemon's resident memory in MB.
func (p *process) residentMB() float64 { return p.statusMB("VmRSS:") }

// anonymousMB returns the resident memory that is not backed by files, in MB.
func (p *process) anonymousMB() float64 { return p.statusMB("RssAnon:") }

// statusMB returns the field name, given with its colon, of /proc/PID/status in MB; 0 if it
// can't be read.
func (p *process) statusMB(name string) float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}
