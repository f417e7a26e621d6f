package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"cometrack/internal/console"
)

// consoleTimeout limits a request to a console, which answers within a second.
const consoleTimeout = 5 * time.Second

func consoleFlag(cmd *cobra.Command, addr *string) {
	cmd.Flags().StringVar(addr, "console", os.Getenv("COMETRACK_CONSOLE"),
		"the daemon's console, host:port (COMETRACK_CONSOLE)")
}

// callConsole makes a request and prints the answer of the console. A status other than success is an error.
func callConsole(cmd *cobra.Command, addr, method, path string) error {
	if addr == "" {
		return &exit{exitUsage, fmt.Errorf("say where the console is: --console host:port")}
	}
	ctx, stop := context.WithTimeout(cmd.Context(), consoleTimeout)
	defer stop()
	text, err := console.Request(ctx, addr, method, path)
	if err != nil {
		return &exit{exitError, err}
	}
	fmt.Fprintln(cmd.OutOrStdout(), strings.TrimSpace(text))
	return nil
}

func readyCommand() *cobra.Command {
	var addr string
	cmd := &cobra.Command{
		Use:   "ready",
		Short: "Ask a daemon's console whether it takes clients; exit code 0 for yes",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return callConsole(cmd, addr, "GET", "/_ready") },
	}
	consoleFlag(cmd, &addr)
	return cmd
}

func drainCommand() *cobra.Command {
	var addr string
	cmd := &cobra.Command{
		Use:       "drain on|off",
		Short:     "Take a daemon out of service, or put it back",
		Args:      cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs),
		ValidArgs: []string{"on", "off"},
		RunE: func(cmd *cobra.Command, args []string) error {
			return callConsole(cmd, addr, "POST", "/_lameduck/"+args[0])
		},
	}
	consoleFlag(cmd, &addr)
	return cmd
}
