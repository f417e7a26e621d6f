package capacity

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cometrack/internal/standin/program"
	"cometrack/internal/standin/traffic"
)

// daemon is the program under measurement, with a configuration file and a state folder of its own.
type daemon struct {
	*program.Program               // the running process; a new one after restart
	bin, dir         string        // path of the program, and temporary folder with the file and the state
	config           string        // path of the configuration file
	startupTime      time.Duration // from the last start until the program was ready
}

// start writes a configuration file with text into a new temporary folder and starts the program at
// bin with it. It returns when the program is ready.
func start(bin, text string) (*daemon, error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, err
	}
	d := &daemon{bin: bin, dir: dir, config: filepath.Join(dir, "config.toml")}
	if err = d.writeConfig(text); err == nil {
		err = d.restart()
	}
	if err != nil {
		os.RemoveAll(dir)
		return nil, err
	}
	return d, nil
}

// writeConfig replaces the configuration file by text, with the state folder set above it.
func (d *daemon) writeConfig(text string) error {
	return os.WriteFile(d.config, []byte(fmt.Sprintf("state = %q\n", filepath.Join(d.dir, "state"))+text), 0o600)
}

// restart starts the program on its existing state folder and records the time until it is ready.
func (d *daemon) restart() error {
	from := time.Now()
	p, err := program.Start(d.bin, nil, "serve", "--config", d.config)
	if err != nil {
		return err
	}
	d.Program, d.startupTime = p, time.Since(from)
	return nil
}

// kill kills the process and waits until it has exited.
func (d *daemon) kill() {
	d.Signal(syscall.SIGKILL)
	d.Wait()
}

// close kills the process and removes its folder.
func (d *daemon) close() {
	d.kill()
	os.RemoveAll(d.dir)
}

// dial connects to the RESP2 front, which closes a connection that has been idle for 4 s; callers
// that have waited longer must dial again.
func (d *daemon) dial() (*traffic.RESP, error) { return traffic.DialRESP(d.Addrs[0]) }

// cpu returns the processor time that the program has used since its last start.
func (d *daemon) cpu() time.Duration { return processCPU(d.Cmd.Process.Pid) }

// processCPU returns the processor time that a process has used; 0 if it cannot be read. It reads
// the CPU clock of the process, in nanoseconds, since /proc counts hundredths of a second.
func processCPU(pid int) time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(int32(^pid<<3|2), &ts) != nil { // CPUCLOCK_SCHED, see clock_getcpuclockid(3)
		return 0
	}
	return time.Duration(ts.Nano())
}

// residentMB returns the resident memory in MB.
func (d *daemon) residentMB() float64 { return procStatusMB(d.Cmd.Process.Pid, "VmRSS:") }

// procStatusMB returns the value of the field name, with its colon, of /proc/PID/status in MB; 0 if it
// cannot be read.
func procStatusMB(pid int, name string) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}

// descriptors counts the open file descriptors of a process.
func descriptors(pid int) int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(list)
}

// diskMB returns the size of the files in the state folder, in MB.
func (d *daemon) diskMB() float64 {
	bytes := int64(0)
	filepath.WalkDir(filepath.Join(d.dir, "state"), func(_ string, e fs.DirEntry, err error) error {
		if err == nil && e.Type().IsRegular() {
			if info, err := e.Info(); err == nil {
				bytes += info.Size()
			}
		}
		return nil
	})
	return float64(bytes) / 1e6
}

// cpuPercent returns the percentage of a core that the program uses over a span.
func (d *daemon) cpuPercent(span time.Duration) float64 {
	cpu, from := d.cpu(), time.Now()
	time.Sleep(span)
	return 100 * (d.cpu() - cpu).Seconds() / time.Since(from).Seconds()
}

// awaitIdle waits until the program uses less than a twentieth of a core over a span, or until its
// use no longer falls from one span to the next; it waits 20 s at most.
func (d *daemon) awaitIdle(span time.Duration) {
	const timeout = 20 * time.Second
	last := 1e9
	for from := time.Now(); time.Since(from) < timeout; {
		b := d.cpuPercent(span)
		if b < 5 || b > 0.9*last && last < 90 {
			return
		}
		last = b
	}
}

// messageBody is the body of each message: 200 bytes.
var messageBody = []byte(strings.Repeat("x", 200))

// messageOptions returns the options of a message to a partner with a deadline of an hour.
func messageOptions(to string) string { return "c=safe,d=3600000,dest=" + to }

// submit submits n messages, pipelined of them before their replies are read, and returns the number
// accepted. Message i has the ID prefix followed by i and goes to the partner to(i).
func submit(c *traffic.RESP, prefix string, n, pipelined int, to func(i int) string) (accepted int, err error) {
	for at := 0; at < n; at += pipelined {
		m := min(pipelined, n-at)
		for i := range m {
			if err := c.Put("0", fmt.Sprint(prefix, at+i), messageOptions(to(at+i)), messageBody); err != nil {
				return accepted, err
			}
		}
		for range m {
			line, err := c.Answer()
			if err != nil {
				return accepted, err
			}
			if line == "+OK" {
				accepted++
			}
		}
	}
	return accepted, nil
}

// configHeader returns the common part of all configurations: large limits, no syncs, a front, and
// a class with a long deadline. pendingLimit is the number of pending messages that the program takes.
func configHeader(pendingLimit int) string {
	return fmt.Sprintf("[limits]\nopen_messages = %d\ndisk_mb = 20000\nmemory_mb = 8000\ndescriptors = 65536\n[store]\nsync = \"never\"\n"+
		"[front.resp]\nlisten = \"127.0.0.1:0\"\n[[class]]\nname = \"safe\"\neffect = \"safe\"\naim = \"5s\"\ndeadline = \"2h\"\n", pendingLimit)
}

// partnerConfig returns a [[partner]] section with one endpoint.
func partnerConfig(name, addr string) string {
	return fmt.Sprintf("[[partner]]\nname = %q\nendpoints = [%q]\n", name, addr)
}

// unreachableAddr returns an address for endpoint i at which no process listens.
func unreachableAddr(i int) string { return fmt.Sprintf("127.%d.%d.%d:1", 200+i>>16, i>>8&255, i&255) }
