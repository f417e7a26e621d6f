package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cometrack/internal/standin/fleet"
	"cometrack/internal/standin/partner"
	"cometrack/internal/view"
	"cometrack/internal/view/play"
)

// measureCluster measures senders that share one view: named cases of faults, the call
// rate at a shared partner, random faults in virtual time, the resources used, large
// fleets, or a script of faults.
func measureCluster(args []string) error {
	fs := flag.NewFlagSet("cluster", flag.ContinueOnError)
	what := fs.String("what", "cases", "cases, rate, virtual, cost, large or script")
	bin := fs.String("bin", "bin/cometrack", "the program, or another one with its configuration and console")
	clusterConfig := fs.String("cluster", `lease = "3s"`, "lines of [cluster] for each sender")
	plays := fs.Int("plays", 3, "runs of each case, or in all")
	parallel := fs.Int("parallel", 2, "fleets at a time")
	only := fs.String("only", "", "run only cases whose names contain this")
	seed := fs.Uint64("seed", 1, "seed of the first run")
	sizes := fs.String("senders", "3,20,50", "sizes of fleets")
	script := fs.String("script", "", "a TOML file of faults")
	out := fs.String("out", ".", "folder for the time line as JSON and SVG")
	if err := fs.Parse(args); err != nil {
		return err
	}
	path, err := filepath.Abs(*bin)
	if err != nil {
		return err
	}
	opts := fleet.Options{Program: path, Cluster: *clusterConfig, Config: uncalledPartner}
	switch *what {
	case "cases":
		return runClusterCases(opts, *only, *plays, *parallel, *seed)
	case "rate":
		return measureClusterRate(opts, *plays, *parallel, *seed)
	case "virtual":
		return runClusterVirtual(*plays, *seed)
	case "cost":
		return measureClusterCost(opts, *sizes)
	case "large":
		return measureClusterLarge(*sizes)
	case "script":
		return runClusterScript(opts, *script, *out)
	}
	return fmt.Errorf("unknown --what %s; use cases, rate, virtual, cost, large or script", *what)
}

// uncalledPartner configures a partner to which no messages are submitted.
const uncalledPartner = "[[partner]]\nname = \"acme\"\nendpoints = [\"127.0.0.1:9\"]\nrate = 100\n"

// clusterTimeout is how long a measurement waits for the views to converge.
const clusterTimeout = 90 * time.Second

// summarizeSeconds returns the median, the 99th percentile and the maximum in seconds,
// or "never" without any. It sorts list.
func summarizeSeconds(list []time.Duration) string {
	if len(list) == 0 {
		return "never"
	}
	slices.Sort(list)
	return fmt.Sprintf("%.1f, %.1f, %.1f s", list[len(list)/2].Seconds(),
		list[min(len(list)*99/100, len(list)-1)].Seconds(), list[len(list)-1].Seconds())
}

// withTempDir calls f with opts, of which Dir is set to a temporary folder, and removes the folder
// afterwards.
func withTempDir(opts fleet.Options, f func(fleet.Options) error) error {
	dir, err := os.MkdirTemp("", "cluster")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	opts.Dir = dir
	return f(opts)
}

// runClusterCases runs each case of faults on real processes, and prints a table with
// wrong suspicions and the times until all senders know of a fault. Only cases whose name
// contains only are run, each plays times with successive seeds, up to parallel at a time.
func runClusterCases(opts fleet.Options, only string, plays, parallel int, seed uint64) error {
	fmt.Println("| case | taken for gone | other changes | killed known by all (median, p99, longest) | views equal again |")
	fmt.Println("| --- | --- | --- | --- | --- |")
	for _, c := range fleet.Cases() {
		if !strings.Contains(c.Name, only) {
			continue
		}
		var mu sync.Mutex
		var running sync.WaitGroup
		var failure error
		gone, flaps, detectionTimes, convergenceTimes, timedOut := 0, 0, []time.Duration(nil), []time.Duration(nil), 0
		slots := make(chan struct{}, parallel)
		for i := range plays {
			slots <- struct{}{}
			running.Go(func() {
				defer func() { <-slots }()
				c := c
				c.Script.Seed = seed + uint64(i)
				err := withTempDir(opts, func(o fleet.Options) error {
					r, _, err := c.Play(o, clusterTimeout)
					mu.Lock()
					defer mu.Unlock()
					gone, flaps = gone+r.FalselyGone, flaps+r.StateChanges
					switch {
					case r.DetectionTime > 0:
						detectionTimes = append(detectionTimes, r.DetectionTime)
					case r.ConvergenceTime > 0:
						convergenceTimes = append(convergenceTimes, r.ConvergenceTime)
					default:
						timedOut++
					}
					return err
				})
				mu.Lock()
				failure = errors.Join(failure, err)
				mu.Unlock()
			})
		}
		running.Wait()
		if failure != nil {
			fmt.Printf("| %s | %v | | | |\n", c.Name, failure)
			continue
		}
		row := [2]string{"", ""}
		if len(c.Killed) > 0 {
			row[0] = summarizeSeconds(detectionTimes)
		} else {
			row[1] = summarizeSeconds(convergenceTimes)
		}
		if timedOut > 0 {
			row[1] += fmt.Sprintf(" (not within %v in %d of %d)", clusterTimeout, timedOut, plays)
		}
		fmt.Printf("| %s | %d | %d | %s | %s |\n", c.Name, gone, flaps, row[0], row[1])
	}
	return nil
}

// measureClusterRate runs random faults over four senders that share a partner, and
// counts in the partner's record the windows of a second with more calls than its rate. It
// runs plays scripts with successive seeds, up to parallel at a time.
func measureClusterRate(opts fleet.Options, plays, parallel int, seed uint64) error {
	const rate, senders = 200, 4
	var mu sync.Mutex
	var running sync.WaitGroup
	var failure error
	windows, worst, calls, utilization := 0, 0, 0, 0.0
	slots := make(chan struct{}, parallel)
	for i := range plays {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			err := withTempDir(opts, func(o fleet.Options) error {
				p, err := partner.Start(partner.Options{Name: "acme", Rate: rate})
				if err != nil {
					return err
				}
				defer p.Close()
				o.Senders, o.Seed, o.Config = senders, seed+uint64(i), fleet.PartnerConfig(p)
				f, err := fleet.Start(o)
				if err != nil {
					return err
				}
				defer f.Close()
				feed, stop, done := &fleet.Feed{Partner: "acme", Class: "safe", Rate: 250}, make(chan struct{}), make(chan struct{})
				go func() { feed.Run(f, stop); close(done) }()
				s := fleet.RandomScript(seed+uint64(i), senders, 12*time.Second)
				err = f.Play(&s)
				close(stop)
				<-done
				recorded := p.Calls()
				n, maxCalls := 0, 0
				for _, fault := range p.Violations(func(string) bool { return false }) { // these allow for stalls of the machine
					if strings.Contains(fault, "calls within") {
						n++
					}
				}
				_, maxCalls = fleet.WindowsOverRate(recorded, rate)
				mu.Lock()
				defer mu.Unlock()
				windows, worst, calls, utilization = windows+n, max(worst, maxCalls), calls+len(recorded),
					utilization+float64(len(recorded))/rate/12
				if n > 0 {
					fmt.Printf("seed %d: %d windows over the rate, the worst with %d of %d\n", seed+uint64(i), n, maxCalls, rate)
				}
				return err
			})
			mu.Lock()
			failure = errors.Join(failure, err)
			mu.Unlock()
		})
	}
	running.Wait()
	fmt.Printf("%d plays: %d calls, %.2f of the rate in use in the mean; %d windows over the rate; the fullest second of those over it: %d of %d\n",
		plays, calls, utilization/float64(plays), windows, worst, rate)
	return failure
}

// virtualOptions returns the options of a fleet of n senders in virtual time. Those with an
// even seed have guards.
func virtualOptions(seed uint64, n int) play.Options {
	return play.Options{Seed: seed, Senders: n, MinShareTotal: 0.1, Lease: 3 * time.Second,
		Interval: 300 * time.Millisecond, MaxClockDrift: 0.01, Delay: time.Millisecond, Jitter: 5 * time.Millisecond,
		Guards: seed%2 == 0}
}

// runClusterVirtual runs random faults in virtual time, and counts the runs in which the
// shares added up to more than one rate. Each of the plays lasts a minute; the seed also
// determines the size of its fleet.
func runClusterVirtual(plays int, seed uint64) error {
	over, maxSum, gone := 0, 0.0, 0
	var mu sync.Mutex
	var running sync.WaitGroup
	seeds := make(chan uint64)
	for range 4 {
		running.Go(func() {
			for s := range seeds {
				w := play.RunRandomFaults(virtualOptions(s, 2+int(s%6)), time.Minute)
				mu.Lock()
				if maxSum, gone = max(maxSum, w.MaxSum), gone+w.HeardAfterGone; w.MaxSum > play.MaxAllowedSum {
					over++
					fmt.Printf("seed %d: the parts add up to %.3f at %v\n", s, w.MaxSum, w.MaxSumAt)
				}
				mu.Unlock()
			}
		})
	}
	for i := range uint64(plays) {
		seeds <- seed + i
	}
	close(seeds)
	running.Wait()
	fmt.Printf("%d plays of a minute, 2 to 7 senders: over one rate in %d; the largest sum of parts %.6f; a life taken for gone and heard again %d times\n",
		plays, over, maxSum, gone)
	return nil
}

// measureClusterLarge runs fleets without faults in virtual time, and prints messages
// and bytes sent, and the time until a kill of four senders in ten is known by all. sizes are
// numbers of senders, separated by commas.
func measureClusterLarge(sizes string) error {
	for _, text := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			return err
		}
		start := time.Now()
		o := virtualOptions(1, n)
		w := play.New(o)
		enc, _ := cbor.EncOptions{}.EncMode()
		w.Run(10 * time.Second)
		shareSum, sent := w.ShareSum(), w.Sent
		w.SizeOf = func(m *view.Message) int { b, _ := enc.Marshal(m); return len(b) }
		w.Run(time.Second)
		w.SizeOf = nil
		bytes := 0
		for _, p := range w.Running {
			bytes += p.SentBytes
		}
		messages := w.Sent - sent
		for _, p := range slices.Clone(w.Newest[:n*4/10]) {
			w.Kill(p)
		}
		detection, detected := w.Until(30*time.Second, w.Converged)
		recovery, recovered := w.Until(30*time.Second, func() bool { return w.ShareSum() > 0.9 })
		fmt.Printf("%d senders: %.3f of the rate in use after 10 s; each sends %d messages and %d bytes a second; four in ten killed known by all after %v (%v), their part in use %v later (%v); this took %v\n",
			n, shareSum, messages/n, bytes/n, detection, detected, recovery, recovered,
			time.Since(start).Round(time.Millisecond))
	}
	return nil
}

// measureClusterCost runs fleets without faults and prints the CPU time, the memory, the
// descriptors and the traffic of a sender, with a guard, without one and without a cluster.
// sizes are numbers of senders, separated by commas.
func measureClusterCost(opts fleet.Options, sizes string) error {
	for _, text := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			return err
		}
		for _, clusterConfig := range []string{opts.Cluster, opts.Cluster + "\nguard = false", "off"} {
			o := opts
			o.Senders, o.Cluster = n, clusterConfig
			err := withTempDir(o, func(o fleet.Options) error {
				f, err := fleet.Start(o)
				if err != nil {
					return err
				}
				defer f.Close()
				if clusterConfig != "off" {
					if took, ok := f.WaitUntil(clusterTimeout, fleet.AllReachable); !ok {
						return fmt.Errorf("views of %d senders did not converge within %v", n, took)
					}
				}
				before := fleetUsage(f)
				sent, bytes := f.Forwarded()
				time.Sleep(10 * time.Second)
				after := fleetUsage(f)
				sentAfter, bytesAfter := f.Forwarded()
				fmt.Printf("%d senders, %q: each %.2f%% of a core, %.1f MB (%.1f MB with its guard), %d descriptors; %d datagrams a second in all; each sends %.1f KB a second with 28 bytes of IP and UDP each\n",
					n, strings.ReplaceAll(clusterConfig, "\n", "; "), (after.cpu-before.cpu).Seconds()*10/float64(n),
					after.ownKB/float64(n)/1024, after.withGuardKB/float64(n)/1024,
					after.descriptors/n, (sentAfter-sent)/10, float64(bytesAfter-bytes+28*(sentAfter-sent))/1000/10/float64(n))
				return nil
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// resourceUsage is the sum over the senders of a fleet.
type resourceUsage struct {
	cpu                time.Duration // used since the start, by senders and their guards
	ownKB, withGuardKB float64       // memory not backed by files, in KB, without and with the guards
	descriptors        int           // open now, without those of the guards
}

// fleetUsage adds up the resources that the senders of a fleet and their guards use.
func fleetUsage(f *fleet.Fleet) (u resourceUsage) {
	const tick = 10 * time.Millisecond // unit of utime and stime in proc(5); USER_HZ is 100 on current Linux
	processUsage := func(pid int) (cpu time.Duration, kb float64) {
		stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		rest := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
		if len(rest) > 13 {
			a, _ := strconv.Atoi(rest[11])
			b, _ := strconv.Atoi(rest[12])
			cpu = time.Duration(a+b) * tick
		}
		status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		for line := range strings.Lines(string(status)) {
			if x, ok := strings.CutPrefix(line, "RssAnon:"); ok {
				kb, _ = strconv.ParseFloat(strings.Fields(x)[0], 64)
			}
		}
		return cpu, kb
	}
	for _, s := range f.Senders() {
		pid := s.PID()
		cpu, kb := processUsage(pid)
		u.cpu, u.ownKB, u.withGuardKB = u.cpu+cpu, u.ownKB+kb, u.withGuardKB+kb
		files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		u.descriptors += len(files)
		tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", pid))
		for _, t := range tasks {
			text, _ := os.ReadFile(t)
			for _, child := range strings.Fields(string(text)) {
				id, _ := strconv.Atoi(child)
				cpu, kb := processUsage(id)
				u.cpu, u.withGuardKB = u.cpu+cpu, u.withGuardKB+kb
			}
		}
	}
	return u
}

// runClusterScript runs the script of faults in the file path over senders that submit to a
// common partner, and writes its time line as JSON and SVG into the folder out.
func runClusterScript(opts fleet.Options, path, out string) error {
	s, err := fleet.LoadScript(path)
	if err != nil {
		return err
	}
	p, err := partner.Start(partner.Options{Name: "acme", Rate: 200})
	if err != nil {
		return err
	}
	defer p.Close()
	return withTempDir(opts, func(o fleet.Options) error {
		o.Senders, o.Seed, o.Config = s.Senders, s.Seed, fleet.PartnerConfig(p)
		f, err := fleet.Start(o)
		if err != nil {
			return err
		}
		defer f.Close()
		feed, stop, done := &fleet.Feed{Partner: "acme", Class: "safe", Rate: 250}, make(chan struct{}), make(chan struct{})
		go func() { feed.Run(f, stop); close(done) }()
		finished := make(chan error, 1)
		go func() { finished <- f.Play(s) }()
		var playErr error
		f.WaitUntil(time.Duration(s.For)+clusterTimeout, func([]fleet.SenderView) bool {
			select {
			case playErr = <-finished:
				return true
			default:
				return false
			}
		})
		close(stop)
		<-done
		f.Timeline.RecordCalls(p)
		n, worst := fleet.WindowsOverRate(p.Calls(), p.Rate())
		fmt.Printf("%d calls; %d windows over the rate, the worst with %d\n", len(p.Calls()), n, worst)
		for name, write := range map[string]func(w *os.File) error{
			"timeline.json": func(w *os.File) error { return f.Timeline.WriteJSON(w) },
			"timeline.svg":  func(w *os.File) error { return f.Timeline.WriteSVG(w) }} {
			w, err := os.Create(filepath.Join(out, name))
			if err != nil {
				return err
			}
			if err := errors.Join(write(w), w.Close()); err != nil {
				return err
			}
		}
		return playErr
	})
}
