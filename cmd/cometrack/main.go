// Command cometrack delivers messages to partners that it does not control, each
// to exactly one end.
//
// Without an argument and with BALANCER_CONFIG set it is a sender of the platform;
// else its first argument says what it is to do.
package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"cometrack/internal/config"
	"cometrack/internal/core"
	"cometrack/internal/daemon"
	"cometrack/internal/lifecycle"
)

// Exit codes.
const (
	exitError   = 1 // something went wrong
	exitUsage   = 2 // the command line can't be read
	exitConfig  = 3 // the configuration has errors
	exitRefused = 4 // the message was turned away or returned: handing it in again is harmless
	exitFailed  = 5 // the message failed
	exitUnknown = 6 // nothing is known of the message
)

// exit is an error with an exit code.
type exit struct {
	code int
	err  error
}

func (e *exit) Error() string { return e.err.Error() }
func (e *exit) Unwrap() error { return e.err }

func main() {
	hup := make(chan os.Signal, 1) // from the first line on: SIGHUP must not end the process
	signal.Notify(hup, syscall.SIGHUP)
	if len(os.Args) == 1 && os.Getenv("BALANCER_CONFIG") != "" {
		var level slog.Level // info unless COMETRACK_LOG says otherwise: debug adds a line for each call
		badLevel := level.UnmarshalText([]byte(cmp.Or(os.Getenv("COMETRACK_LOG"), "info")))
		log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
		if badLevel != nil {
			log.Warn("COMETRACK_LOG", "err", badLevel)
		}
		if err := platform(log, hup); err != nil {
			log.Error("cometrack", "err", err)
			os.Exit(exitError)
		}
		return
	}
	if err := root(hup).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "cometrack:", err)
		var e *exit
		if errors.As(err, &e) {
			os.Exit(e.code)
		}
		os.Exit(exitUsage)
	}
}

// platform runs a sender of the platform.
func platform(log *slog.Logger, hup <-chan os.Signal) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cfg, reason, err := config.StartPlatform()
	if err != nil {
		return err
	}
	if reason != nil {
		log.Error("the configuration can't be used; the last good one stands", "err", reason)
	}
	limit(int(math.Ceil(cfg.Limits.Cores)), cfg.Limits.MemoryMB)
	life := lifecycle.NewController(core.LifecycleTimes, log)
	console, err := daemon.OpenConsole(cfg.Console, life, log) // first: it answers while the journal is read
	if err != nil {
		return err
	}
	defer console.Close()
	return daemon.RetryTakeover(log, func() error {
		n, err := daemon.NewPlatform(ctx, cfg, life, log)
		if err != nil {
			return err
		}
		console.SetMetrics(n.Metrics())
		return n.Run(ctx, hup, config.LoadPlatform)
	})
}

// limit keeps the process to so many processors and megabytes; 0 for no limit.
func limit(cores int, memoryMB float64) {
	if cores > 0 {
		runtime.GOMAXPROCS(cores)
	}
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB * 0.7 * (1 << 20)))
	}
}
