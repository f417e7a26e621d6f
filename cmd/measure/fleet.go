package main

import (
	"bufio"
	"cmp"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// summarizeFleetLogs reads the logs that many senders wrote with COMETRACK_LOG=debug,
// and counts accepted messages, calls, outcomes and ends over all senders, by partner or
// endpoint and by interval of time.
func summarizeFleetLogs(args []string) error {
	flags := flag.NewFlagSet("fleet", flag.ContinueOnError)
	spanSeconds := flags.Float64("span", 5, "seconds of each row")
	byRoute := flags.Bool("routes", false, "count by endpoint rather than by partner")
	only := flags.String("partner", "", "count only these partners, separated by commas")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if flags.NArg() != 1 {
		return fmt.Errorf("usage: measure fleet [flags] DIR, with the logs of the senders in DIR/*.log")
	}
	files, err := filepath.Glob(filepath.Join(flags.Arg(0), "*.log"))
	if err != nil || len(files) == 0 {
		return fmt.Errorf("no logs in %s", flags.Arg(0))
	}
	f := fleetSummary{spanSeconds: *spanSeconds, byRoute: *byRoute, rows: map[fleetKey]*fleetRow{},
		endpointRates: map[string]map[string]float64{}}
	for _, part := range strings.Split(*only, ",") {
		if part != "" {
			f.partners = append(f.partners, part)
		}
	}
	for _, file := range files {
		if err := f.readLog(file); err != nil {
			return err
		}
	}
	f.print(len(files))
	return nil
}

// fleetKey is a partner, with an endpoint if counted by endpoint, and an interval of time.
type fleetKey struct {
	label string // "p" and the partner, then the endpoint if counted by endpoint
	span  int    // number of the interval, counted from time 0 of the logs
}

// fleetRow counts the events of a partner in an interval of time.
type fleetRow struct {
	accepted, calls, retries int             // retries are calls after the first of a message
	outcomes                 map[string]int  // replies to calls, by outcome
	requestedWaits           int             // replies that requested a wait
	ends                     map[string]int  // messages, by the state in which they ended
	deliveryAges             []float64       // of delivered messages, from acceptance, in seconds
	senders                  map[string]bool // log files of the senders that called
}

// newFleetRow returns a row without counts.
func newFleetRow() *fleetRow {
	return &fleetRow{outcomes: map[string]int{}, ends: map[string]int{}, senders: map[string]bool{}}
}

// fleetSummary holds the counts of all logs.
type fleetSummary struct {
	spanSeconds   float64                       // length of an interval
	byRoute       bool                          // counted by endpoint, not only by partner
	partners      []string                      // those that are counted; nil for all
	rows          map[fleetKey]*fleetRow        // those with a count
	endpointRates map[string]map[string]float64 // weights in the initial lists, by partner and endpoint
}

// readLog counts the lines of a log: a time in seconds, and then key=value pairs.
func (f *fleetSummary) readLog(file string) error {
	in, err := os.Open(file)
	if err != nil {
		return err
	}
	defer in.Close()
	scan := bufio.NewScanner(in)
	scan.Buffer(nil, 1<<20)
	for scan.Scan() {
		at, rest, _ := strings.Cut(scan.Text(), " ")
		t, err := strconv.ParseFloat(at, 64)
		if err != nil {
			continue // not a log line of the program
		}
		f.addLine(file, t, parseFields(rest))
	}
	return scan.Err()
}

// parseFields returns the values of a line by key. It cuts a value at its first blank,
// so that the outcome "refused connection" becomes "refused".
func parseFields(line string) map[string]string {
	out := map[string]string{}
	for _, word := range strings.Fields(line) {
		if k, v, ok := strings.Cut(word, "="); ok {
			out[k] = strings.Trim(v, `"`)
		}
	}
	return out
}

// addLine counts a log line of the sender that wrote file, logged at t seconds.
func (f *fleetSummary) addLine(file string, t float64, values map[string]string) {
	if f.partners != nil && !slices.Contains(f.partners, values["partner"]) || values["partner"] == "" {
		return
	}
	label := "p" + values["partner"]
	if values["msg"] == "known" {
		if f.endpointRates[label] == nil {
			f.endpointRates[label] = map[string]float64{}
		}
		f.endpointRates[label][values["ep"]+"/"+values["kind"]], _ = strconv.ParseFloat(values["weight"], 64)
		return
	}
	if f.byRoute && values["ep"] != "" {
		label += " " + values["ep"]
	}
	row := f.row(label, t)
	switch values["msg"] {
	case "taken":
		row.accepted++
	case "call":
		row.calls++
		if values["try"] != "0" {
			row.retries++
		}
		row.senders[file] = true
	case "reply":
		row.outcomes[values["outcome"]]++
		if values["wait"] != "0" {
			row.requestedWaits++
		}
	case "end":
		row.ends[values["state"]]++
		if age, err := strconv.ParseFloat(values["age"], 64); err == nil && values["state"] == "delivered" {
			row.deliveryAges = append(row.deliveryAges, age/1000)
		}
	}
}

// row returns the row of label at t seconds, a new one if need be.
func (f *fleetSummary) row(label string, t float64) *fleetRow {
	k := fleetKey{label, int(t / f.spanSeconds)}
	r := f.rows[k]
	if r == nil {
		r = newFleetRow()
		f.rows[k] = r
	}
	return r
}

// print prints the rates of endpoints, the rows by label, and the totals by interval. senders is
// the number of logs that were read.
func (f *fleetSummary) print(senders int) {
	fmt.Printf("%d senders, spans of %g s; counts over all of them\n", senders, f.spanSeconds)
	for _, label := range slices.Sorted(maps.Keys(f.endpointRates)) {
		fmt.Printf("%s rate", label)
		for _, ep := range slices.Sorted(maps.Keys(f.endpointRates[label])) {
			fmt.Printf("  %s %g", ep, f.endpointRates[label][ep])
		}
		fmt.Println()
	}
	fmt.Printf("%-14s %6s %6s %6s %6s %6s %6s %6s %6s %6s %6s %6s %6s %6s %6s %6s\n", "who", "from", "taken", "calls",
		"again", "done",
		"full", "told", "noconn", "error", "other", "failed", "return", "mean", "p95", "callers")
	keys := slices.SortedFunc(maps.Keys(f.rows), func(a, b fleetKey) int {
		return cmp.Or(cmp.Compare(a.label, b.label), cmp.Compare(a.span, b.span))
	})
	total := map[int]*fleetRow{}
	last := ""
	for _, k := range keys {
		if last != "" && last != k.label {
			fmt.Println()
		}
		last = k.label
		r := f.rows[k]
		r.print(k.label, float64(k.span)*f.spanSeconds)
		sum := total[k.span]
		if sum == nil {
			sum = newFleetRow()
			total[k.span] = sum
		}
		sum.add(r)
	}
	fmt.Println()
	for _, span := range slices.Sorted(maps.Keys(total)) {
		total[span].print("all", float64(span)*f.spanSeconds)
	}
}

// add adds the counts of x to r.
func (r *fleetRow) add(x *fleetRow) {
	r.accepted, r.calls, r.retries, r.requestedWaits = r.accepted+x.accepted, r.calls+x.calls,
		r.retries+x.retries, r.requestedWaits+x.requestedWaits
	for k, n := range x.outcomes {
		r.outcomes[k] += n
	}
	for k, n := range x.ends {
		r.ends[k] += n
	}
	r.deliveryAges = append(r.deliveryAges, x.deliveryAges...)
	maps.Copy(r.senders, x.senders)
}

// print prints r as a row of the table. from is the start of its interval in seconds.
func (r *fleetRow) print(label string, from float64) {
	other := 0
	for k, n := range r.outcomes {
		if k != "completed" && k != "full" && k != "refused" && k != "errored" {
			other += n
		}
	}
	slices.Sort(r.deliveryAges)
	mean, p95 := 0.0, 0.0
	for _, a := range r.deliveryAges {
		mean += a / float64(len(r.deliveryAges))
	}
	if n := len(r.deliveryAges); n > 0 {
		p95 = r.deliveryAges[n*95/100]
	}
	fmt.Printf("%-14s %6g %6d %6d %6d %6d %6d %6d %6d %6d %6d %6d %6d %6.2f %6.2f %6d\n", label, from, r.accepted,
		r.calls, r.retries,
		r.outcomes["completed"], r.outcomes["full"], r.requestedWaits, r.outcomes["refused"], r.outcomes["errored"], other,
		r.ends["failed"], r.ends["returned"], mean, p95, len(r.senders))
}
