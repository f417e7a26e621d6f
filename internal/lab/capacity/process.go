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

// daemon is the program under measurement, with a file and a state folder of its own.
type daemon struct {
	*program.Program
	bin, dir string
	config   string // path
	took     time.Duration
}

// start writes a file and starts the program with it; took is the time to ready.
func start(bin, text string) (*daemon, error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, err
	}
	d := &daemon{bin: bin, dir: dir, config: filepath.Join(dir, "config.toml")}
	if err = d.write(text); err == nil {
		err = d.again()
	}
	if err != nil {
		os.RemoveAll(dir)
		return nil, err
	}
	return d, nil
}

// write puts a text in the place of the file.
func (d *daemon) write(text string) error {
	return os.WriteFile(d.config, []byte(fmt.Sprintf("state = %q\n", filepath.Join(d.dir, "state"))+text), 0o600)
}

// again starts the program on its folder as it is.
func (d *daemon) again() error {
	from := time.Now()
	p, err := program.Start(d.bin, nil, "serve", "--config", d.config)
	if err != nil {
		return err
	}
	d.Program, d.took = p, time.Since(from)
	return nil
}

// kill ends the process as it stands.
func (d *daemon) kill() {
	d.Signal(syscall.SIGKILL)
	d.Wait()
}

// close ends the process and removes its folder.
func (d *daemon) close() {
	d.kill()
	os.RemoveAll(d.dir)
}

// dial connects to the RESP2 front, which closes what has rested for 4 s: whoever has
// waited connects anew.
func (d *daemon) dial() (*traffic.RESP, error) { return traffic.DialRESP(d.Addrs[0]) }

func (d *daemon) cpu() time.Duration { return cpuOf(d.Cmd.Process.Pid) }

// cpuOf is the processor time that a process has used, by its clock, in nanoseconds;
// /proc counts hundredths of a second.
func cpuOf(pid int) time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(int32(^pid<<3|2), &ts) != nil { // CPUCLOCK_SCHED of a whole process, as clock_getcpuclockid(3) makes it
		return 0
	}
	return time.Duration(ts.Nano())
}

// memory is the resident size in MB.
func (d *daemon) memory() float64 { return statusOf(d.Cmd.Process.Pid, "VmRSS:") }

// statusOf is a figure of /proc/PID/status in MB.
func statusOf(pid int, name string) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}

// descriptors counts what a process has open.
func descriptors(pid int) int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(list)
}

// disk is what the state folder holds, in MB.
func (d *daemon) disk() float64 {
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

// busy is the share of a core in percent that the program uses over a span.
func (d *daemon) busy(span time.Duration) float64 {
	cpu, from := d.cpu(), time.Now()
	time.Sleep(span)
	return 100 * (d.cpu() - cpu).Seconds() / time.Since(from).Seconds()
}

// quiet waits until the program uses less than a twentieth of a core over a span, or
// no less than in the span before, for patience at most.
func (d *daemon) quiet(span time.Duration) {
	const patience = 20 * time.Second
	last := 1e9
	for from := time.Now(); time.Since(from) < patience; {
		b := d.busy(span)
		if b < 5 || b > 0.9*last && last < 90 {
			return
		}
		last = b
	}
}

// body is that of each message: 200 bytes.
var body = []byte(strings.Repeat("x", 200))

// options of a message to a partner that has an hour.
func options(to string) string { return "c=safe,d=3600000,dest=" + to }

// put hands messages in, so many at once, and counts those that are taken on.
func put(c *traffic.RESP, prefix string, n, pipelined int, to func(i int) string) (taken int, err error) {
	for at := 0; at < n; at += pipelined {
		m := min(pipelined, n-at)
		for i := range m {
			if err := c.Put("0", fmt.Sprint(prefix, at+i), options(to(at+i)), body); err != nil {
				return taken, err
			}
		}
		for range m {
			line, err := c.Answer()
			if err != nil {
				return taken, err
			}
			if line == "+OK" {
				taken++
			}
		}
	}
	return taken, nil
}

// header is what all files have: room, no syncs, a front, a class with time.
func header(held int) string {
	return fmt.Sprintf("[limits]\nopen_messages = %d\ndisk_mb = 20000\nmemory_mb = 8000\ndescriptors = 65536\n[store]\nsync = \"never\"\n"+
		"[front.resp]\nlisten = \"127.0.0.1:0\"\n[[class]]\nname = \"safe\"\neffect = \"safe\"\naim = \"5s\"\ndeadline = \"2h\"\n", held)
}

func partnerText(name, addr string) string {
	return fmt.Sprintf("[[partner]]\nname = %q\nendpoints = [%q]\n", name, addr)
}

// out is an address of endpoint i at which nobody listens.
func outAddr(i int) string { return fmt.Sprintf("127.%d.%d.%d:1", 200+i>>16, i>>8&255, i&255) }
