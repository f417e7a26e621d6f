package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"cometrack/internal/cluster"
	"cometrack/internal/console"
)

// watchInterval is the polling interval of a watched status.
const watchInterval = 500 * time.Millisecond

func clusterCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "cluster", Short: "See which senders there are, leave them, or have one forgotten",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	cmd.AddCommand(clusterStatusCommand(), clusterFactsCommand(), clusterLeaveCommand(), clusterForgetCommand())
	return cmd
}

func clusterStatusCommand() *cobra.Command {
	var addr string
	var watch, raw bool
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Print which senders a daemon sees, and which part of each rate it may use",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if addr == "" {
				return &exit{exitUsage, fmt.Errorf("say where the console is: --console host:port")}
			}
			ctx, stop := signalContext()
			defer stop()
			tick := time.NewTicker(watchInterval)
			defer tick.Stop()
			for last := ""; ; {
				s, text, err := requestStatus(ctx, addr)
				if err != nil {
					return &exit{exitError, err}
				}
				switch key := watchKey(s); {
				case watch && key == last:
				case raw:
					fmt.Fprintln(cmd.OutOrStdout(), strings.TrimSpace(text))
					last = key
				default:
					printStatus(cmd.OutOrStdout(), s)
					last = key
				}
				if !watch {
					return nil
				}
				select {
				case <-ctx.Done():
					return nil
				case <-tick.C:
				}
			}
		},
	}
	consoleFlag(cmd, &addr)
	cmd.Flags().BoolVar(&watch, "watch", false,
		"print it again whenever a state or the part has changed, until interrupted")
	cmd.Flags().BoolVar(&raw, "json", false, "print it as JSON, a line each")
	return cmd
}

// requestStatus requests the cluster status from the console at addr, and returns it decoded and as text.
func requestStatus(ctx context.Context, addr string) (s cluster.Status, text string, err error) {
	ctx, stop := context.WithTimeout(ctx, consoleTimeout)
	defer stop()
	if text, err = console.Request(ctx, addr, "GET", "/cluster"); err == nil {
		err = json.Unmarshal([]byte(text), &s)
	}
	return s, text, err
}

// watchKey returns a text that changes if and only if a watched status is to be printed again.
func watchKey(s cluster.Status) string {
	text := fmt.Sprintf("%s %d %.3f", s.State, s.Incarnation, s.Share)
	for _, x := range s.Peers {
		text += fmt.Sprintf(" %s %s %d", x.Name, x.State, x.Incarnation)
	}
	return text
}

func printStatus(w io.Writer, s cluster.Status) {
	fmt.Fprintf(w, "%s at %s, incarnation %d: %s; it may use %.1f%% of each rate",
		s.Name, s.Addr, s.Incarnation, s.State, 100*s.Share)
	switch {
	case s.CountedSenders > 0:
		fmt.Fprintf(w, ", shared by %d, for %.1f s more\n", s.CountedSenders, s.ShareValidSeconds)
	default:
		fmt.Fprint(w, ", the least\n")
	}
	var b bytes.Buffer
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SENDER\tSTATE\tFOR\tHEARD\tINCARNATION\tADDRESS\tZONE\tVERSION\tGRANTS\tNOT HEARD BY")
	for _, x := range s.Peers {
		heard := "never"
		if x.SecondsSinceHeard >= 0 {
			heard = fmt.Sprintf("%.1f s ago", x.SecondsSinceHeard)
		}
		fmt.Fprintf(t, "%s\t%s\t%.0f s\t%s\t%d\t%s\t%s\t%s\t%v\t%s\n", x.Name, x.State,
			x.SecondsInState, heard, x.Incarnation, x.Addr, x.Zone, x.Version, x.GrantInForce,
			strings.Join(x.NotHeardBy, ","))
	}
	t.Flush()
	w.Write(b.Bytes())
	k := s.Replication
	if k == nil {
		fmt.Fprintln(w, "facts: none are shared")
		return
	}
	progress := "caught up"
	if k.CatchingUp {
		progress = fmt.Sprintf("behind for %.1f s", k.CatchingUpSeconds)
	}
	fmt.Fprintf(w, "facts: %d, %s; %d of its own not confirmed by all; %d bytes sent; %d messages that made no sense, %d repairs, %d lost for want of room\n",
		k.Facts, progress, k.Unconfirmed, k.BytesSent, k.InvalidMessages, k.Repairs, k.Overflows+k.Dropped)
}

func clusterFactsCommand() *cobra.Command {
	var addr, partner, diff string
	var raw bool
	cmd := &cobra.Command{
		Use:   "facts",
		Short: "Print what is known of partners, from whom, how old it is, and which rule decides",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if addr == "" {
				return &exit{exitUsage, fmt.Errorf("say where the console is: --console host:port")}
			}
			ctx, stop := context.WithTimeout(cmd.Context(), consoleTimeout)
			defer stop()
			text, err := console.Request(ctx, addr, "GET",
				"/cluster/facts?"+url.Values{"partner": {partner}, "diff": {diff}}.Encode())
			if err != nil {
				return &exit{exitError, err}
			}
			if raw {
				fmt.Fprintln(cmd.OutOrStdout(), strings.TrimSpace(text))
				return nil
			}
			var told cluster.FactsReport
			if err := json.Unmarshal([]byte(text), &told); err != nil {
				return &exit{exitError, err}
			}
			printFacts(cmd.OutOrStdout(), told, diff)
			return nil
		},
	}
	consoleFlag(cmd, &addr)
	cmd.Flags().StringVar(&partner, "partner", "", "of this partner only")
	cmd.Flags().StringVar(&diff, "diff", "", "also where the copy of the sender with this name differs")
	cmd.Flags().BoolVar(&raw, "json", false, "print it as JSON")
	return cmd
}

func printFacts(w io.Writer, told cluster.FactsReport, diff string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "PARTNER\tENDPOINT\tKIND\tSAYS\tBY\tNUMBER\tZONE\tAGE\tLEFT\tRULE")
	for _, x := range told.Facts {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%.1f to %.1f s\t%.1f s\t%s\n", x.Partner, x.Endpoint,
			x.Kind, x.Statement, x.Origin, x.Seq, x.Zone, x.AgeSeconds[0], x.AgeSeconds[1], x.RemainingSeconds, x.Rule)
	}
	t.Flush()
	if told.Truncated {
		fmt.Fprintln(w, "there are more")
	}
	if diff == "" {
		return
	}
	fmt.Fprintf(w, "differences from %s, as it last told: %d\n", diff, len(told.Differences))
	for _, g := range told.Differences {
		receiver := diff
		if g.Local < g.Remote {
			receiver = "this sender"
		}
		fmt.Fprintf(w, "  of %s: known here up to %d, there up to %d; the higher number holds, %s is to have it\n",
			g.Origin, g.Local, g.Remote, receiver)
	}
}

func clusterLeaveCommand() *cobra.Command {
	var addr string
	cmd := &cobra.Command{
		Use:   "leave",
		Short: "Have a daemon give up all but its least part of each rate, until it starts again",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return callConsole(cmd, addr, "POST", "/cluster/leave") },
	}
	consoleFlag(cmd, &addr)
	return cmd
}

func clusterForgetCommand() *cobra.Command {
	var addr string
	cmd := &cobra.Command{
		Use:   "forget NAME",
		Short: "Have a sender taken for ended that does not run and will not come back by itself",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return callConsole(cmd, addr, "POST", "/cluster/forget?name="+url.QueryEscape(args[0]))
		},
	}
	consoleFlag(cmd, &addr)
	return cmd
}

// guardCommand returns the hidden command with which a daemon starts its guard process.
func guardCommand() *cobra.Command {
	var lease time.Duration
	var keys string
	cmd := &cobra.Command{
		Use: "guard", Hidden: true, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return cluster.RunGuard(lease, keys)
		},
	}
	cmd.Flags().DurationVar(&lease, "lease", 0, "that of the sender")
	cmd.Flags().StringVar(&keys, "key-file", "", "that of the sender")
	return cmd
}
