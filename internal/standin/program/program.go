// Package program runs the real program as a process of its own, for tests and
// measurements.
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

// Timeout bounds the wait for a program to be ready, and for one to end.
const Timeout = 20 * time.Second

// Program is a process that is ready.
type Program struct {
	Cmd      *exec.Cmd
	Addrs    []string    // of its fronts, HTTP first
	LogLines chan string // its log, as far as it has room
	Done     chan error  // has how it ended

	ready chan []string
}

// Start runs the program at path with variables beside the environment, and waits
// until it says that it is ready.
func Start(path string, env []string, args ...string) (*Program, error) {
	p, err := Launch(path, env, args...)
	if err != nil {
		return nil, err
	}
	return p, p.Ready()
}

// Launch runs the program and does not wait.
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

// Ready waits until the program says that it is. One that does not is killed.
func (p *Program) Ready() error {
	select {
	case p.Addrs = <-p.ready:
		return nil
	case err := <-p.Done:
		p.Done <- err
		return fmt.Errorf("%s ends before it is ready: %v; it says: %s", p.Cmd.Path, err, p.lastLogLine())
	case <-time.After(Timeout):
		p.Cmd.Process.Kill()
		return fmt.Errorf("%s is not ready; it says: %s", p.Cmd.Path, p.lastLogLine())
	}
}

func (p *Program) lastLogLine() (line string) {
	for {
		select {
		case line = <-p.LogLines:
		default:
			return line
		}
	}
}

// Signal sends a signal.
func (p *Program) Signal(s syscall.Signal) { p.Cmd.Process.Signal(s) }

// Wait waits for the end and returns how it was. A program that does not end is
// killed, and that is an error.
func (p *Program) Wait() error {
	select {
	case err := <-p.Done:
		return err
	case <-time.After(Timeout):
		p.Cmd.Process.Kill()
		<-p.Done
		return fmt.Errorf("%s did not end", p.Cmd.Path)
	}
}

// AwaitLog waits for a line of the log that contains part.
func (p *Program) AwaitLog(part string) error {
	for stop := time.After(Timeout); ; {
		select {
		case line := <-p.LogLines:
			if strings.Contains(line, part) {
				return nil
			}
		case <-stop:
			return fmt.Errorf("no line with %q", part)
		}
	}
}
