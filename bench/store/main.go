// Command store compares the store with bbolt and Pebble: with the same records and the
// same durability, in turns, each engine in its own process.
package main

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const valueSize = 256 // bytes

func main() {
	one := flag.String("one", "", "take a single measurement in this process: ENGINE/MEASUREMENT")
	dir := flag.String("dir", "", "folder for the files; default: a temporary one")
	turns := flag.Int("turns", 3, "turns of each engine")
	span := flag.Duration("span", 2*time.Second, "length of one run")
	records := flag.Int("records", 1_000_000, "live records of the store that is opened")
	only := flag.String("what", "", "take only measurements whose names contain this")
	flag.Parse()
	var err error
	if *one != "" {
		err = runSingle(*one, *dir, *span, *records)
	} else {
		err = runAll(*dir, *turns, *span, *records, *only)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "store:", err)
		os.Exit(1)
	}
}

// measurements are the names of the measurements, each with the unit of its result.
var measurements = [][2]string{
	{"append-1-sync", "appends/s"}, {"append-64-sync", "appends/s"}, {"append-1", "appends/s"}, {"append-64", "appends/s"},
	{"written-64", "bytes written for each handed in"}, {"open", "ms to open"},
	{"memory", "bytes resident for each live record"},
}

// runAll takes each measurement with each engine in turns, and prints a table of the
// medians with their ranges.
func runAll(dir string, turns int, duration time.Duration, records int, filter string) error {
	if dir == "" {
		tmp, err := os.MkdirTemp("", "store-bench-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(tmp)
		dir = tmp
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	measure := func(name, measurement, folder string) (float64, error) {
		cmd := exec.Command(self, "-one", name+"/"+measurement, "-dir", folder,
			"-span", duration.String(), "-records", strconv.Itoa(records))
		cmd.Stderr = os.Stderr
		out, err := cmd.Output()
		if err != nil {
			return 0, fmt.Errorf("%s %s: %w", name, measurement, err)
		}
		return strconv.ParseFloat(strings.TrimSpace(string(out)), 64)
	}
	fmt.Printf("| what | %s |\n| --- | --- | --- | --- |\n", strings.Join(engineOrder, " | "))
	loaded := false
	for _, spec := range measurements {
		if !strings.Contains(spec[0], filter) {
			continue
		}
		usesLoaded := spec[0] == "open" || spec[0] == "memory"
		if usesLoaded && !loaded {
			loaded = true
			for _, name := range engineOrder {
				if _, err := measure(name, "load", filepath.Join(dir, "big-"+name)); err != nil {
					return err
				}
			}
		}
		results := map[string][]float64{}
		for turn := range turns {
			for i := range engineOrder { // a different engine is first in each turn
				name := engineOrder[(i+turn)%len(engineOrder)]
				folder := filepath.Join(dir, "big-"+name)
				if !usesLoaded {
					folder = filepath.Join(dir, fmt.Sprint(name, "-", spec[0], "-", turn))
				}
				result, err := measure(name, spec[0], folder)
				if err != nil {
					return err
				}
				results[name] = append(results[name], result)
				if !usesLoaded {
					os.RemoveAll(folder)
				}
			}
		}
		row := spec[0] + ", " + spec[1]
		for _, name := range engineOrder {
			sorted := slices.Sorted(slices.Values(results[name]))
			row += fmt.Sprintf(" | %.4g (%.4g to %.4g)", sorted[len(sorted)/2], sorted[0], sorted[len(sorted)-1])
		}
		fmt.Printf("| %s |\n", row)
	}
	return nil
}

// key returns the key of record i.
func key(i int) []byte { return fmt.Appendf(nil, "message-%012d", i) }

// value returns random bytes, the same for the same seed.
func value(seed uint64) []byte {
	rng := rand.New(rand.NewPCG(seed, 2)) // random, so that compression gives no advantage
	b := make([]byte, valueSize)
	for i := range b {
		b[i] = byte(rng.Uint32())
	}
	return b
}

// runSingle takes the measurement selection, ENGINE/MEASUREMENT, in this process and
// prints its result.
func runSingle(selection, dir string, duration time.Duration, records int) error {
	name, measurement, _ := strings.Cut(selection, "/")
	open := engines[name]
	if open == nil {
		return fmt.Errorf("no engine %q", name)
	}
	start := time.Now()
	baseBytes := residentBytes()
	e, err := open(dir, strings.HasSuffix(measurement, "-sync"))
	if err != nil {
		return err
	}
	openTime := time.Since(start)
	var result float64
	switch {
	case measurement == "load":
		err = e.load(records, key, value(1))
	case measurement == "open":
		result = float64(openTime) / 1e6
	case measurement == "memory":
		runtime.GC()
		debug.FreeOSMemory()
		result = float64(residentBytes()-baseBytes) / float64(records)
	case strings.HasPrefix(measurement, "append-"):
		writers := 1
		if strings.HasPrefix(measurement, "append-64") {
			writers = 64
		}
		if b, ok := e.(*boltEngine); ok {
			b.singleWriter = writers == 1
		}
		var appended int64
		appended, err = appendRecords(e, writers, duration, 0)
		result = float64(appended) / duration.Seconds()
	case measurement == "written-64":
		var appended int64
		before := writtenBytes()
		appended, err = appendRecords(e, 64, duration, 2000)
		if err == nil {
			err = e.close()
		}
		payload := float64(appended) * float64(len(key(0))+valueSize)
		fmt.Println(float64(writtenBytes()-before) / payload)
		return err
	default:
		err = fmt.Errorf("unknown measurement %q", measurement)
	}
	if err == nil {
		err = e.close()
	}
	fmt.Println(result)
	return err
}

// appendRecords has several writers append records for a duration, and returns the number
// of records. With retained above 0, each record is deleted again after that many newer
// ones were appended, like the records of messages in the journal.
func appendRecords(e engine, writers int, duration time.Duration, retained int) (appended int64, err error) {
	var next, count atomic.Int64
	var failure atomic.Pointer[error]
	stop := time.Now().Add(duration)
	var wg sync.WaitGroup
	for writer := range writers {
		v := value(uint64(writer))
		wg.Go(func() {
			for time.Now().Before(stop) && failure.Load() == nil {
				i := int(next.Add(1))
				err := e.put(key(i), v)
				if err == nil && retained > 0 && i > retained {
					err = e.del(key(i - retained))
				}
				if err != nil {
					failure.Store(&err)
					return
				}
				count.Add(1)
			}
		})
	}
	wg.Wait()
	if p := failure.Load(); p != nil {
		return 0, *p
	}
	return count.Load(), nil
}

// residentBytes returns the resident memory of the process, including mapped files.
func residentBytes() int64 { return procField("/proc/self/status", "VmRSS:") * 1024 }

// writtenBytes returns the number of bytes that the process has passed to write calls.
func writtenBytes() int64 { return procField("/proc/self/io", "wchar:") }

// procField returns the number after name in a file of /proc; 0 if it can't be read.
func procField(path, name string) int64 {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		if f := strings.Fields(lines.Text()); len(f) > 1 && f[0] == name {
			n, _ := strconv.ParseInt(f[1], 10, 64)
			return n
		}
	}
	return 0
}
