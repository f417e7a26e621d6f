package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"runtime/pprof"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"cometrack/internal/config"
	"cometrack/internal/core"
	"cometrack/internal/daemon"
	"cometrack/internal/demo"
	"cometrack/internal/lifecycle"
)

// version is printed by --version; a release sets it.
var version = "0.3.0-dev"

// rootCommand returns the command line. SIGHUPs received on hup reload the configuration of the serve command.
func rootCommand(hup <-chan os.Signal) *cobra.Command {
	cmd := &cobra.Command{
		Use:           "cometrack",
		Short:         "Deliver messages to partners that you do not control, each to exactly one end",
		Version:       versionText(),
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cmd.SetOut(os.Stderr)
			cmd.Usage()
			return &exit{exitUsage, fmt.Errorf("say what to do, or set BALANCER_CONFIG for a sender of the platform")}
		},
	}
	cmd.AddCommand(serveCommand(hup), checkCommand(), demoCommand(), putCommand(), stateCommand(), storeCommand(),
		readyCommand(), drainCommand(), clusterCommand(), guardCommand())
	return cmd
}

// versionText returns the version and the commit that the program was built from.
func versionText() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return version
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && len(s.Value) >= 12 {
			return version + " (" + s.Value[:12] + ")"
		}
	}
	return version
}

func configFlag(cmd *cobra.Command, path *string) {
	cmd.Flags().StringVarP(path, "config", "c", "", "the configuration file (TOML)")
	cmd.MarkFlagRequired("config")
	cmd.MarkFlagFilename("config", "toml")
}

// loadConfig loads a configuration file. The error has the exit code for an invalid configuration.
func loadConfig(path string) (*config.File, error) {
	f, err := config.Load(path)
	if err != nil {
		return nil, &exit{exitConfig, err}
	}
	return f, nil
}

func serveCommand(hup <-chan os.Signal) *cobra.Command {
	var path, profile string
	cmd := &cobra.Command{
		Use:   "serve --config FILE",
		Short: "Run the daemon until SIGTERM; SIGHUP rereads partners, classes, rules, limits of messages and certificates",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			f, err := loadConfig(path)
			if err != nil {
				return err
			}
			setResourceLimits(f.Limits.Cores, float64(f.Limits.MemoryMB))
			if profile != "" {
				out, err := os.Create(profile)
				if err != nil {
					return &exit{exitError, err}
				}
				defer out.Close()
				if err := pprof.StartCPUProfile(out); err != nil {
					return &exit{exitError, err}
				}
				defer pprof.StopCPUProfile()
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			log := slog.New(slog.NewTextHandler(os.Stderr, nil))
			life := lifecycle.NewController(core.LifecycleTimes, log)
			console, err := daemon.OpenConsole(f.Console.Listen, life, log)
			if err != nil {
				return &exit{exitError, err}
			}
			defer console.Close()
			daemon.Version = version
			err = daemon.RetryTakeover(log, func() error {
				d, err := daemon.NewStandalone(ctx, f, life, log)
				if err != nil {
					return err
				}
				console.SetCluster(d.Cluster())
				console.SetMetrics(d.Metrics())
				return d.Run(ctx, hup, func() (*config.File, error) { return config.Load(path) })
			})
			if err != nil {
				return &exit{exitError, err}
			}
			return nil
		},
	}
	configFlag(cmd, &path)
	cmd.Flags().StringVar(&profile, "cpu-profile", "", "write a CPU profile of the whole run to this file")
	return cmd
}

func checkCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "check --config FILE",
		Short: "Check a configuration file and report all that is wrong with it",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			f, err := loadConfig(path)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: good: %d partners, %d classes, %d tenants\n", path,
				len(f.Partners), len(f.Classes), len(f.Tenants))
			if text := f.MemoryEstimate(); text != "" {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", path, text)
			}
			return nil
		},
	}
	configFlag(cmd, &path)
	return cmd
}

func demoCommand() *cobra.Command {
	opts := demo.Options{Out: os.Stdout}
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a daemon against scripted partners on loopback for half a minute and show what becomes of the messages",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			if err := demo.Run(ctx, opts); err != nil {
				return &exit{exitError, err}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&opts.StateDir, "state", "", "the folder for the journal (default: a temporary one)")
	cmd.Flags().BoolVar(&opts.RunUntilCancelled, "keep", false, "go on until interrupted")
	cmd.Flags().DurationVar(&opts.Duration, "for", 20*time.Second, "send for so long")
	cmd.Flags().IntVar(&opts.Rate, "rate", 60, "messages a second through each front")
	return cmd
}
