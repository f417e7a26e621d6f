// Command cometrack is one sender on real sockets: it takes messages from clients
// over RESP2 and delivers them to the endpoints of their destinations over HTTP.
package main

import (
	"context"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"cometrack/internal/config"
	"cometrack/internal/daemon"
)

func main() {
	hup := make(chan os.Signal, 1) // from the first line on: SIGHUP must not end the process
	signal.Notify(hup, syscall.SIGHUP)
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err := run(log, hup); err != nil {
		log.Error("cometrack", "err", err)
		os.Exit(1)
	}
}

func run(log *slog.Logger, hup <-chan os.Signal) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cfg, err := config.LoadPlatform()
	if err != nil {
		return err
	}
	if c := cfg.Limits.Cores; c > 0 {
		runtime.GOMAXPROCS(max(int(math.Ceil(c)), 1))
	}
	if m := cfg.Limits.MemoryMB; m > 0 {
		debug.SetMemoryLimit(int64(m * 0.7 * (1 << 20)))
	}
	n, err := daemon.NewPlatform(cfg, log)
	if err != nil {
		return err
	}
	return n.Run(ctx, hup, config.LoadPlatform)
}
