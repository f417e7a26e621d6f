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

// clusters measures senders that know of each other: cases of faults, the rate at a
// partner, random plays in virtual time, what it costs, or a script.
func clusters(args []string) error {
	fs := flag.NewFlagSet("cluster", flag.ContinueOnError)
	what := fs.String("what", "cases", "cases, rate, virtual, cost, large or script")
	bin := fs.String("bin", "bin/cometrack", "the program, or another engine that speaks as it does")
	more := fs.String("cluster", `lease = "3s"`, "lines of [cluster] for each sender")
	plays := fs.Int("plays", 3, "plays of each case, or in all")
	parallel := fs.Int("parallel", 2, "fleets at a time")
	only := fs.String("only", "", "cases whose names hold this")
	seed := fs.Uint64("seed", 1, "of the first play")
	sizes := fs.String("senders", "3,20,50", "sizes of fleets")
	script := fs.String("script", "", "a TOML file of faults")
	out := fs.String("out", ".", "folder for the time line and its picture")
	if err := fs.Parse(args); err != nil {
		return err
	}
	path, err := filepath.Abs(*bin)
	if err != nil {
		return err
	}
	opts := fleet.Options{Program: path, Cluster: *more, Config: quietPartner}
	switch *what {
	case "cases":
		return clusterCases(opts, *only, *plays, *parallel, *seed)
	case "rate":
		return clusterRate(opts, *plays, *parallel, *seed)
	case "virtual":
		return clusterVirtual(*plays, *seed)
	case "cost":
		return clusterCost(opts, *sizes)
	case "large":
		return clusterLarge(*sizes)
	case "script":
		return clusterScript(opts, *script, *out)
	}
	return fmt.Errorf("--what %s: none of cases, rate, virtual, cost, large, script", *what)
}

// quietPartner is one that is never called.
const quietPartner = "[[partner]]\nname = \"acme\"\nendpoints = [\"127.0.0.1:9\"]\nrate = 100\n"

const clusterPatience = 90 * time.Second

// spread is a row of spans in order.
func spread(list []time.Duration) string {
	if len(list) == 0 {
		return "never"
	}
	slices.Sort(list)
	return fmt.Sprintf("%.1f, %.1f, %.1f s", list[len(list)/2].Seconds(), list[min(len(list)*99/100, len(list)-1)].Seconds(), list[len(list)-1].Seconds())
}

func inDir(opts fleet.Options, f func(fleet.Options) error) error {
	dir, err := os.MkdirTemp("", "cluster")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	opts.Dir = dir
	return f(opts)
}

func clusterCases(opts fleet.Options, only string, plays, parallel int, seed uint64) error {
	fmt.Println("| case | taken for gone | other changes | killed known by all (median, p99, longest) | views equal again |")
	fmt.Println("| --- | --- | --- | --- | --- |")
	for _, c := range fleet.Cases() {
		if !strings.Contains(c.Name, only) {
			continue
		}
		var mu sync.Mutex
		var all sync.WaitGroup
		var wrong error
		gone, flaps, known, equal, missed := 0, 0, []time.Duration(nil), []time.Duration(nil), 0
		places := make(chan struct{}, parallel)
		for i := range plays {
			places <- struct{}{}
			all.Go(func() {
				defer func() { <-places }()
				c := c
				c.Script.Seed = seed + uint64(i)
				err := inDir(opts, func(o fleet.Options) error {
					r, _, err := c.Play(o, clusterPatience)
					mu.Lock()
					defer mu.Unlock()
					gone, flaps = gone+r.FalselyGone, flaps+r.StateChanges
					switch {
					case r.DetectionTime > 0:
						known = append(known, r.DetectionTime)
					case r.ConvergenceTime > 0:
						equal = append(equal, r.ConvergenceTime)
					default:
						missed++
					}
					return err
				})
				mu.Lock()
				wrong = errors.Join(wrong, err)
				mu.Unlock()
			})
		}
		all.Wait()
		if wrong != nil {
			fmt.Printf("| %s | %v | | | |\n", c.Name, wrong)
			continue
		}
		row := [2]string{"", ""}
		if len(c.Killed) > 0 {
			row[0] = spread(known)
		} else {
			row[1] = spread(equal)
		}
		if missed > 0 {
			row[1] += fmt.Sprintf(" (not within %v in %d of %d)", clusterPatience, missed, plays)
		}
		fmt.Printf("| %s | %d | %d | %s | %s |\n", c.Name, gone, flaps, row[0], row[1])
	}
	return nil
}

// clusterRate plays random faults over four senders that share a partner, and
// counts by the partner's own record the seconds with more calls than its rate.
func clusterRate(opts fleet.Options, plays, parallel int, seed uint64) error {
	const rate, senders = 200, 4
	var mu sync.Mutex
	var all sync.WaitGroup
	var wrong error
	windows, worst, calls, used := 0, 0, 0, 0.0
	places := make(chan struct{}, parallel)
	for i := range plays {
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			err := inDir(opts, func(o fleet.Options) error {
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
				list := p.Calls()
				n, most := 0, 0
				for _, fault := range p.Faults(func(string) bool { return false }) { // with its allowance for this machine's stalls
					if strings.Contains(fault, "calls within") {
						n++
					}
				}
				_, most = fleet.WindowsOverRate(list, rate)
				mu.Lock()
				defer mu.Unlock()
				windows, worst, calls, used = windows+n, max(worst, most), calls+len(list), used+float64(len(list))/rate/12
				if n > 0 {
					fmt.Printf("seed %d: %d windows over the rate, the worst with %d of %d\n", seed+uint64(i), n, most, rate)
				}
				return err
			})
			mu.Lock()
			wrong = errors.Join(wrong, err)
			mu.Unlock()
		})
	}
	all.Wait()
	fmt.Printf("%d plays: %d calls, %.2f of the rate in use in the mean; %d windows over the rate; the fullest second of those over it: %d of %d\n", plays, calls,
		used/float64(plays), windows, worst, rate)
	return wrong
}

func virtualOptions(seed uint64, n int) play.Options {
	return play.Options{Seed: seed, Senders: n, MinShareTotal: 0.1, Lease: 3 * time.Second, Interval: 300 * time.Millisecond, MaxClockDrift: 0.01,
		Delay: time.Millisecond, Jitter: 5 * time.Millisecond, Guards: seed%2 == 0}
}

func clusterVirtual(plays int, seed uint64) error {
	over, worst, gone := 0, 0.0, 0
	var mu sync.Mutex
	var all sync.WaitGroup
	seeds := make(chan uint64)
	for range 4 {
		all.Go(func() {
			for s := range seeds {
				w := play.RunRandomFaults(virtualOptions(s, 2+int(s%6)), time.Minute)
				mu.Lock()
				if worst, gone = max(worst, w.MaxSum), gone+w.HeardAfterGone; w.MaxSum > play.MaxAllowedSum {
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
	all.Wait()
	fmt.Printf("%d plays of a minute, 2 to 7 senders: over one rate in %d; the largest sum of parts %.6f; a life taken for gone and heard again %d times\n", plays, over, worst, gone)
	return nil
}

// clusterLarge runs calm fleets in virtual time and counts messages and bytes, and
// how long a death of four in ten takes to be known.
func clusterLarge(sizes string) error {
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
		met, sent := w.ShareSum(), w.Sent
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
		known, ok := w.Until(30*time.Second, w.Converged)
		back, again := w.Until(30*time.Second, func() bool { return w.ShareSum() > 0.9 })
		fmt.Printf("%d senders: %.3f of the rate in use after 10 s; each sends %d messages and %d bytes a second; four in ten killed known by all after %v (%v), their part in use %v later (%v); this took %v\n",
			n, met, messages/n, bytes/n, known, ok, back, again, time.Since(start).Round(time.Millisecond))
	}
	return nil
}

// clusterCost runs calm fleets and tells what a sender and its guard use.
func clusterCost(opts fleet.Options, sizes string) error {
	for _, text := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			return err
		}
		for _, more := range []string{opts.Cluster, opts.Cluster + "\nguard = false", "off"} {
			o := opts
			o.Senders, o.Cluster = n, more
			err := inDir(o, func(o fleet.Options) error {
				f, err := fleet.Start(o)
				if err != nil {
					return err
				}
				defer f.Close()
				if more != "off" {
					if took, ok := f.WaitUntil(clusterPatience, fleet.AllReachable); !ok {
						return fmt.Errorf("%d senders did not meet within %v", n, took)
					}
				}
				before := usage(f)
				sent, bytes := f.Forwarded()
				time.Sleep(10 * time.Second)
				after := usage(f)
				sentAfter, bytesAfter := f.Forwarded()
				fmt.Printf("%d senders, %q: each %.2f%% of a core, %.1f MB (%.1f MB with its guard), %d descriptors; %d datagrams a second in all; each sends %.1f KB a second with 28 bytes of IP and UDP each\n", n,
					strings.ReplaceAll(more, "\n", "; "), (after.cpu-before.cpu).Seconds()*10/float64(n), after.own/float64(n)/1024, after.all/float64(n)/1024,
					after.files/n, (sentAfter-sent)/10, float64(bytesAfter-bytes+28*(sentAfter-sent))/1000/10/float64(n))
				return nil
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

type used struct {
	cpu      time.Duration
	own, all float64 // KB
	files    int
}

// usage adds up what the senders of a fleet and their guards use.
func usage(f *fleet.Fleet) (u used) {
	const tick = 10 * time.Millisecond // of utime and stime, proc(5), as on every Linux of today
	of := func(pid int) (cpu time.Duration, kb float64) {
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
		cpu, kb := of(pid)
		u.cpu, u.own, u.all = u.cpu+cpu, u.own+kb, u.all+kb
		files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		u.files += len(files)
		tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", pid))
		for _, t := range tasks {
			text, _ := os.ReadFile(t)
			for _, child := range strings.Fields(string(text)) {
				id, _ := strconv.Atoi(child)
				cpu, kb := of(id)
				u.cpu, u.all = u.cpu+cpu, u.all+kb
			}
		}
	}
	return u
}

// clusterScript plays a script and writes its time line and picture.
func clusterScript(opts fleet.Options, path, out string) error {
	s, err := fleet.LoadScript(path)
	if err != nil {
		return err
	}
	p, err := partner.Start(partner.Options{Name: "acme", Rate: 200})
	if err != nil {
		return err
	}
	defer p.Close()
	return inDir(opts, func(o fleet.Options) error {
		o.Senders, o.Seed, o.Config = s.Senders, s.Seed, fleet.PartnerConfig(p)
		f, err := fleet.Start(o)
		if err != nil {
			return err
		}
		defer f.Close()
		feed, stop, done := &fleet.Feed{Partner: "acme", Class: "safe", Rate: 250}, make(chan struct{}), make(chan struct{})
		go func() { feed.Run(f, stop); close(done) }()
		over := make(chan error, 1)
		go func() { over <- f.Play(s) }()
		var played error
		f.WaitUntil(time.Duration(s.For)+clusterPatience, func([]fleet.SenderView) bool {
			select {
			case played = <-over:
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
		for name, write := range map[string]func(w *os.File) error{"timeline.json": func(w *os.File) error { return f.Timeline.WriteJSON(w) },
			"timeline.svg": func(w *os.File) error { return f.Timeline.WriteSVG(w) }} {
			w, err := os.Create(filepath.Join(out, name))
			if err != nil {
				return err
			}
			if err := errors.Join(write(w), w.Close()); err != nil {
				return err
			}
		}
		return played
	})
}
