package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// process is a daemon under measurement.
type process struct {
	cmd   *exec.Cmd
	addrs []string // of its fronts, HTTP first
	dir   string
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
	cmd := exec.Command(bin, append([]string{"serve", "--config", path}, flags...)...)
	logs, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, dir: dir}
	ready := make(chan []string, 1)
	go func() {
		for s := bufio.NewScanner(logs); s.Scan(); {
			line := s.Text()
			if !strings.Contains(line, "level=INFO") {
				fmt.Fprintln(os.Stderr, line)
			}
			if strings.Contains(line, "msg=ready") {
				var addrs []string
				for _, part := range strings.Fields(line) {
					if a, ok := strings.CutPrefix(part, "addr="); ok {
						addrs = append(addrs, a)
					}
				}
				ready <- addrs
			}
		}
	}()
	select {
	case p.addrs = <-ready:
		return p, nil
	case <-time.After(10 * time.Second):
		p.stop()
		return nil, fmt.Errorf("the daemon does not start")
	}
}

func (p *process) stop() {
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.cmd.Wait()
	os.RemoveAll(p.dir)
}

// cpu is the processor time that the daemon has used.
func (p *process) cpu() time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
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
func (p *process) memory() float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}
