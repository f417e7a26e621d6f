package hollow

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// processCPU returns the processor time, of user and system, used by this process so far.
func processCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0 // cannot fail for this process, see getrusage(2)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// residentMemory returns the anonymous resident memory of this process, in bytes; 0 if it cannot
// be read.
func residentMemory() int64 {
	text, _ := os.ReadFile("/proc/self/status")
	for line := range strings.Lines(string(text)) {
		if x, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(x)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// Kernel holds counters of the kernel; all but Dropped are for the whole machine.
type Kernel struct {
	DatagramsOut int64 `json:"datagrams_out"`  // UDP datagrams sent
	DatagramsIn  int64 `json:"datagrams_in"`   // UDP datagrams received
	Full         int64 `json:"full_buffers"`   // datagrams lost because a socket buffer was full
	LoopbackOut  int64 `json:"loopback_bytes"` // bytes sent on the loopback interface
	Dropped      int64 `json:"dropped"`        // datagrams dropped by the open sockets of this fleet
}

// minus returns the change since an earlier reading x.
func (k Kernel) minus(x Kernel) Kernel {
	return Kernel{k.DatagramsOut - x.DatagramsOut, k.DatagramsIn - x.DatagramsIn, k.Full - x.Full, k.LoopbackOut - x.LoopbackOut, k.Dropped - x.Dropped}
}

// readKernel reads /proc/net/snmp, /proc/net/dev and /proc/net/udp in the format of proc(5). base
// is the first two octets of the addresses of the fleet, such as "127.16"; it restricts Dropped alone, to
// sockets at these addresses and clusterPort. The counters of a file that cannot be read are 0.
func readKernel(base string) (k Kernel) {
	text, _ := os.ReadFile("/proc/net/snmp")
	var names []string
	for line := range strings.Lines(string(text)) {
		x, ok := strings.CutPrefix(line, "Udp:")
		if !ok {
			continue
		}
		fields := strings.Fields(x)
		if names == nil {
			names = fields
			continue
		}
		for i, name := range names {
			v, _ := strconv.ParseInt(fields[i], 10, 64)
			switch name {
			case "OutDatagrams":
				k.DatagramsOut = v
			case "InDatagrams":
				k.DatagramsIn = v
			case "RcvbufErrors":
				k.Full = v
			}
		}
	}
	text, _ = os.ReadFile("/proc/net/dev")
	for line := range strings.Lines(string(text)) {
		if x, ok := strings.CutPrefix(strings.TrimSpace(line), "lo:"); ok {
			if fields := strings.Fields(x); len(fields) > 8 {
				k.LoopbackOut, _ = strconv.ParseInt(fields[8], 10, 64)
			}
		}
	}
	_, octet, _ := strings.Cut(base, ".")
	second, _ := strconv.Atoi(octet)
	end := fmt.Sprintf("%02X7F:%04X", second, clusterPort) // end of a little-endian address
	text, _ = os.ReadFile("/proc/net/udp")
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) > 12 && strings.HasSuffix(fields[1], end) {
			n, _ := strconv.ParseInt(fields[len(fields)-1], 10, 64)
			k.Dropped += n
		}
	}
	return k
}

// machineName describes the machine: cores, processor, kernel and Go version.
func machineName() string {
	model := "unknown processor"
	text, _ := os.ReadFile("/proc/cpuinfo")
	for line := range strings.Lines(string(text)) {
		if x, ok := strings.CutPrefix(line, "model name"); ok {
			model = strings.TrimSpace(strings.TrimPrefix(strings.TrimSpace(x), ":"))
			break
		}
	}
	release, _ := os.ReadFile("/proc/sys/kernel/osrelease")
	return fmt.Sprintf("%d cores of %s, Linux %s, %s", runtime.NumCPU(), model, strings.TrimSpace(string(release)), runtime.Version())
}

// buildCommit returns the short commit of the program, with "+" if the tree was modified.
func buildCommit() string {
	info, _ := debug.ReadBuildInfo()
	at, changed := "unknown", ""
	if info != nil {
		for _, s := range info.Settings {
			switch {
			case s.Key == "vcs.revision" && len(s.Value) >= 7:
				at = s.Value[:7]
			case s.Key == "vcs.modified" && s.Value == "true":
				changed = "+"
			}
		}
	}
	return at + changed
}
