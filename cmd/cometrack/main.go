// Command cometrack delivers messages to partners that it does not control, each to exactly one end.
//
// Without an argument and with BALANCER_CONFIG set it runs as a sender of the platform; otherwise the first argument is
// the command to run.
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
	exitError   = 1 // any other error
	exitUsage   = 2 // invalid command line
	exitConfig  = 3 // invalid configuration
	exitRefused = 4 // the message was rejected or returned: submitting it again is harmless
	exitFailed  = 5 // the message failed
	exitUnknown = 6 // the message is unknown
)

// exit is an error with an exit code.
type exit struct {
	code int
	err  error
}

func (e *exit) Error() string { return e.err.Error() }
func (e *exit) Unwrap() error { return e.err }

func main() {
	hup := make(chan os.Signal, 1) // registered first: SIGHUP must never terminate the process
	signal.Notify(hup, syscall.SIGHUP)
	if len(os.Args) == 1 && os.Getenv("BALANCER_CONFIG") != "" {
		var level slog.Level // info unless COMETRACK_LOG is set; debug adds a line for each call
		badLevel := level.UnmarshalText([]byte(cmp.Or(os.Getenv("COMETRACK_LOG"), "info")))
		log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
		if badLevel != nil {
			log.Warn("COMETRACK_LOG", "err", badLevel)
		}
		if err := runPlatform(log, hup); err != nil {
			log.Error("cometrack", "err", err)
			os.Exit(exitError)
		}
		return
	}
	if err := rootCommand(hup).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "cometrack:", err)
		var e *exit
		if errors.As(err, &e) {
			os.Exit(e.code)
		}
		os.Exit(exitUsage)
	}
}

// runPlatform runs a sender of the platform.
func runPlatform(log *slog.Logger, hup <-chan os.Signal) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cfg, reason, err := config.StartPlatform()
	if err != nil {
		return err
	}
	if reason != nil {
		log.Error("the configuration can't be used; the last good one stands", "err", reason)
	}
	setResourceLimits(int(math.Ceil(cfg.Limits.Cores)), cfg.Limits.MemoryMB)
	life := lifecycle.NewController(core.LifecycleTimes, log)
	// The console is opened first, so that it answers while the journal is replayed.
	console, err := daemon.OpenConsole(cfg.Console, life, log)
	if err != nil {
		return err
	}
	defer console.Close()
	return daemon.RetryTakeover(log, func() error {
		sender, err := daemon.NewPlatform(ctx, cfg, life, log)
		if err != nil {
			return err
		}
		console.SetMetrics(sender.Metrics())
		return sender.Run(ctx, hup, config.LoadPlatform)
	})
}

// setResourceLimits sets the number of processors and the memory limit of the runtime; 0 means no limit.
func setResourceLimits(cores int, memoryMB float64) {
	if cores > 0 {
		runtime.GOMAXPROCS(cores)
	}
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB * 0.7 * (1 << 20)))
	}
}
