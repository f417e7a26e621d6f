// Package program runs the real program as a separate process, for tests and measurements.
package program

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// Timeout bounds the waits for a program to be ready, to log a line and to exit.
const Timeout = 20 * time.Second

// Program is a running process of the program.
type Program struct {
	Cmd      *exec.Cmd
	Addrs    []string    // addresses of its fronts, HTTP first; set by Ready
	LogLines chan string // lines of its log; further lines are dropped while the channel is full
	Done     chan error  // receives the exit error once; nil for status 0

	ready chan []string // receives the addresses of the fronts when the program logs that it is ready
}

// Start runs the program at path with the entries of env, NAME=value, added to the environment, and waits
// until it is ready. A program that is not ready in time is killed.
func Start(path string, env []string, args ...string) (*Program, error) {
	p, err := Launch(path, env, args...)
	if err != nil {
		return nil, err
	}
	return p, p.Ready()
}

// Launch runs the program like Start and does not wait until it is ready.
func Launch(path string, env []string, args ...string) (*Program, error) {
	p := &Program{Cmd: exec.Command(path, args...), LogLines: make(chan string, 1<<14), Done: make(chan error, 1),
		ready: make(chan []string, 1)}
	p.Cmd.Env = append(os.Environ(), env...)
	logs, err := p.Cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.Cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		for s := bufio.NewScanner(logs); s.Scan(); {
			select {
			case p.LogLines <- s.Text():
			default:
			}
			if strings.Contains(s.Text(), "msg=ready") {
				var addrs []string
				for _, part := range strings.Fields(s.Text()) {
					if a, ok := strings.CutPrefix(part, "addr="); ok {
						addrs = append(addrs, a)
					}
				}
				p.ready <- addrs
			}
		}
		p.Done <- p.Cmd.Wait()
	}()
	return p, nil
}

// Ready waits until the program logs that it is ready. A program that is not ready in time is killed.
func (p *Program) Ready() error {
	select {
	case p.Addrs = <-p.ready:
		return nil
	case err := <-p.Done:
		p.Done <- err
		return fmt.Errorf("%s exited before it was ready: %v; last log line: %s", p.Cmd.Path, err, p.lastLogLine())
	case <-time.After(Timeout):
		p.Cmd.Process.Kill()
		return fmt.Errorf("%s is not ready; last log line: %s", p.Cmd.Path, p.lastLogLine())
	}
}

// lastLogLine empties LogLines and returns the last line; empty if none is waiting.
func (p *Program) lastLogLine() (line string) {
	for {
		select {
		case line = <-p.LogLines:
		default:
			return line
		}
	}
}

// Signal sends a signal to the process.
func (p *Program) Signal(s syscall.Signal) { p.Cmd.Process.Signal(s) }

// Wait waits for the process to exit and returns its exit error. A process that does not exit in time is
// killed, which is an error.
func (p *Program) Wait() error {
	select {
	case err := <-p.Done:
		return err
	case <-time.After(Timeout):
		p.Cmd.Process.Kill()
		<-p.Done
		return fmt.Errorf("%s did not exit in time", p.Cmd.Path)
	}
}

// AwaitLog waits for a log line that contains part and drops the lines before it. It is an error if there is
// none in time.
func (p *Program) AwaitLog(part string) error {
	for stop := time.After(Timeout); ; {
		select {
		case line := <-p.LogLines:
			if strings.Contains(line, part) {
				return nil
			}
		case <-stop:
			return fmt.Errorf("no log line with %q", part)
		}
	}
}
