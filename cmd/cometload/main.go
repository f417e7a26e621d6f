// Command cometload is a load generator with an open model: it submits messages to a daemon on
// a fixed schedule and reports their latencies from when they were due.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"cometrack/internal/load"
	"cometrack/internal/load/drive"
	"cometrack/internal/load/page"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{Use: "cometload", Short: "Load on a schedule that does not wait for replies",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(runCommand(), checkCommand(), compareCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "cometload:", err)
		os.Exit(1)
	}
}

// readScenario reads and checks the scenario in a file.
func readScenario(path string) (*load.Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := load.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// checkCommand returns the command that checks a scenario.
func checkCommand() *cobra.Command {
	return &cobra.Command{Use: "check SCENARIO.toml", Short: "Check a scenario, and count its messages",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := readScenario(args[0])
			if err != nil {
				return err
			}
			n, p := 0, s.Plan()
			for _, ok := p.Next(); ok; _, ok = p.Next() {
				n++
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d messages in %v\n", n, s.TotalDuration())
			return nil
		}}
}

// compareCommand returns the command that compares two sets of reports.
func compareCommand() *cobra.Command {
	return &cobra.Command{Use: "compare BEFORE AFTER",
		Short: "Compare runs: each argument is a report, or a pattern such as 'before-*.json'",
		Args:  cobra.ExactArgs(2), RunE: func(cmd *cobra.Command, args []string) error {
			before, err := readReports(args[0])
			if err != nil {
				return err
			}
			after, err := readReports(args[1])
			if err != nil {
				return err
			}
			list, err := load.Compare(before, after)
			if err != nil {
				return err
			}
			return load.WriteTable(cmd.OutOrStdout(), list)
		}}
}

// readReports reads the reports in the files that match a pattern.
func readReports(pattern string) (out []*load.Report, err error) {
	names, err := filepath.Glob(pattern)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", pattern, err)
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("%s: no such file", pattern)
	}
	for _, name := range names {
		b, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		r := &load.Report{}
		if err := json.Unmarshal(b, r); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		out = append(out, r)
	}
	return out, nil
}

// runCommand returns the command that plays a scenario. It fails if the run is not valid, has
// faults, or the system fell behind.
func runCommand() *cobra.Command {
	var opts drive.Options
	var jsonPath, htmlPath string
	var quiet bool
	cmd := &cobra.Command{Use: "run SCENARIO.toml", Short: "Play a scenario against a running daemon",
		Args: cobra.ExactArgs(1)}
	f := cmd.Flags()
	f.StringVar(&opts.RESP, "resp", "", "address of the RESP2 front")
	f.StringVar(&opts.HTTP, "http", "", "address of the HTTP front; ends are followed there")
	f.IntVar(&opts.Connections, "connections", 16, "connections to each front")
	f.DurationVar(&opts.DrainTimeout, "drain", 30*time.Second,
		"how long after the last message answers and ends are waited for")
	f.StringVar(&opts.RunID, "run", "", "begins the ids of this run; default: of the time")
	f.StringVar(&jsonPath, "json", "", "write the report to this file too")
	f.StringVar(&htmlPath, "html", "", "write a page with plots to this file too")
	f.BoolVar(&quiet, "quiet", false, "no progress")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		var err error
		if opts.Scenario, err = readScenario(args[0]); err != nil {
			return err
		}
		if opts.RunID == "" {
			opts.RunID = "load" + strconv.FormatInt(time.Now().UnixNano(), 36)
		}
		if !quiet {
			opts.Progress = func(p drive.Progress) {
				fmt.Fprintf(cmd.ErrOrStderr(),
					"\r%5.0f s  %d handed in  %d accepted  %d refused  %d unanswered ",
					p.Elapsed.Seconds(), p.Sent, p.Accepted, p.Refused, p.InFlight)
			}
		}
		r, err := drive.Run(cmd.Context(), opts)
		if err != nil {
			return err
		}
		if !quiet {
			fmt.Fprintln(cmd.ErrOrStderr())
		}
		report := opts.Scenario.Report(r.Recorder, r.Elapsed)
		report.Account, report.Dropped, report.BrokenConnections, report.Faults, report.FaultCount =
			r.Account, r.Dropped, r.BrokenConnections, r.Faults, r.FaultCount
		if err := report.WriteText(cmd.OutOrStdout()); err != nil {
			return err
		}
		if jsonPath != "" {
			b, err := json.MarshalIndent(report, "", "  ")
			if err != nil {
				return err
			}
			if err := os.WriteFile(jsonPath, append(b, '\n'), 0o644); err != nil {
				return err
			}
		}
		if htmlPath != "" {
			if err := writePage(htmlPath, args[0], report); err != nil {
				return err
			}
		}
		switch {
		case !report.Valid:
			return errors.New("the run is not valid")
		case report.FaultCount > 0:
			return fmt.Errorf("%d faults", report.FaultCount)
		case report.Dropped > 0:
			return errors.New("the system fell behind")
		}
		return nil
	}
	return cmd
}

// writePage writes the report as an HTML page to a file.
func writePage(path, title string, r *load.Report) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(page.Write(f, title, r), f.Close())
}
