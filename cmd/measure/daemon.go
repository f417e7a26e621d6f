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
	*program.Program
	dir string
}

// startDaemon runs a daemon with a file whose listeners are on free ports.
func startDaemon(bin, text string, flags ...string) (*process, error) {
	dir, err := os.MkdirTemp("", "measure")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "config.toml")
	if err := os.WriteFile(path, []byte(fmt.Sprintf("state = %q\n", filepath.Join(dir, "state"))+text), 0o600); err != nil {
		return nil, err
	}
	p, err := program.Start(bin, nil, append([]string{"serve", "--config", path}, flags...)...)
	if err != nil {
		return nil, err
	}
	return &process{p, dir}, nil
}

func (p *process) stop() {
	p.Signal(syscall.SIGTERM)
	p.Wait()
	os.RemoveAll(p.dir)
}

// cpu is the processor time that the daemon has used.
func (p *process) cpu() time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(b), ") ") // the name may hold spaces
	f := strings.Fields(rest)
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * 10 * time.Millisecond // USER_HZ is 100 on Linux
}

// memory is the daemon's resident size in MB.
func (p *process) memory() float64 { return p.status("VmRSS:") }

// anonymous is the memory of a process that is not of files, in MB.
func (p *process) anonymous() float64 { return p.status("RssAnon:") }

// status is a figure of /proc in MB.
func (p *process) status(name string) float64 {
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
