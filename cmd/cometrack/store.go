package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"cometrack/internal/journal"
	"cometrack/internal/store"
	"cometrack/internal/vfs"
)

func storeCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "store",
		Short: "Look into the folder of a journal, and mend it",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cmd.SetOut(os.Stderr)
			cmd.Usage()
			return &exit{exitUsage, fmt.Errorf("say what to do with the store")}
		},
	}
	var to string
	repair := offlineCommand("repair FOLDER --to DIR", "Make a sound store in an empty folder of what can be read", func(cmd *cobra.Command, dir vfs.Dir) error {
		target, err := vfs.OpenDir(to)
		if err != nil {
			return err
		}
		found, err := store.Repair(dir, target, store.Options{})
		if err != nil {
			return err
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%d records read, %d bytes cut, %d stretches damaged\n",
			found.Records, found.TruncatedBytes, len(found.Damaged))
		return nil
	})
	repair.Flags().StringVar(&to, "to", "", "the folder for the sound store")
	repair.MarkFlagRequired("to")
	cmd.AddCommand(folderCommand("stat FOLDER", "Tell sizes and counts, also of a store in use", printStat),
		offlineCommand("dump FOLDER", "Write the records that count as lines of JSON", dump),
		offlineCommand("verify FOLDER", "Read every record; exit code 1 if something is damaged", verify), repair)
	return cmd
}

// folderCommand returns a command whose argument is a folder.
func folderCommand(use, short string, run func(cmd *cobra.Command, dir vfs.Dir) error) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		if info, err := os.Stat(args[0]); err != nil || !info.IsDir() {
			return &exit{exitError, errors.Join(err, fmt.Errorf("%s is no folder", args[0]))}
		}
		if err := run(cmd, vfs.Dir(args[0])); err != nil {
			return &exit{exitError, err}
		}
		return nil
	}}
}

// offlineCommand returns a command on a folder that no daemon may have open. It holds the lock while the command runs.
func offlineCommand(use, short string, run func(cmd *cobra.Command, dir vfs.Dir) error) *cobra.Command {
	return folderCommand(use, short+"; stop the daemon first, or copy the folder", func(cmd *cobra.Command, dir vfs.Dir) error {
		lock, err := store.Lock(dir)
		if err != nil {
			return err
		}
		defer lock.Close()
		return run(cmd, dir)
	})
}

func printStat(cmd *cobra.Command, dir vfs.Dir) error {
	var live store.LiveRecords
	reports, err := store.Inspect(dir, func(it store.Record) error {
		it.Value = nil
		live.Add(it)
		return nil
	})
	if err != nil {
		return err
	}
	counts, bytes := map[string]int{}, map[string]int64{}
	live.Visit(func(it store.Record) { counts[it.Segment]++; bytes[it.Segment] += int64(it.Size) })
	out := cmd.OutOrStdout()
	fmt.Fprintln(out, "segment        bytes      records    that count  their bytes  note")
	for _, r := range reports {
		note := r.Error
		switch {
		case len(r.Damaged) > 0:
			note = fmt.Sprintf("%d damaged stretches", len(r.Damaged))
		case r.ClosedCleanly:
			note = "closed in good order"
		}
		fmt.Fprintf(out, "%-14s %-10d %-10d %-11d %-12d %s\n", r.Segment, r.Size, r.Records,
			counts[r.Segment], bytes[r.Segment], note)
	}
	return nil
}

func dump(cmd *cobra.Command, dir vfs.Dir) error {
	var live store.LiveRecords
	if _, err := store.Inspect(dir, func(it store.Record) error { live.Add(it); return nil }); err != nil {
		return err
	}
	lines := json.NewEncoder(cmd.OutOrStdout())
	var err error
	live.Visit(func(it store.Record) {
		d, bad := journal.Describe(it.Key, it.Value)
		if bad != nil {
			err = errors.Join(err, bad)
			return
		}
		err = errors.Join(err, lines.Encode(d))
	})
	return err
}

func verify(cmd *cobra.Command, dir vfs.Dir) error {
	reports, err := store.Inspect(dir, nil)
	if err != nil {
		return err
	}
	return printDamage(cmd.OutOrStdout(), reports)
}

// printDamage prints the damage that the reports list. It returns an error if there is any.
func printDamage(out io.Writer, reports []store.SegmentReport) error {
	records, bad := 0, 0
	for i, r := range reports {
		records += r.Records
		if r.Error != "" {
			bad++
			fmt.Fprintf(out, "%s: %s\n", r.Segment, r.Error)
		}
		for _, d := range r.Damaged {
			bad++
			fmt.Fprintf(out, "%s: damaged from byte %d to %d\n", d.Segment, d.From, d.To)
		}
		if r.TailBytes > 0 && i == len(reports)-1 {
			fmt.Fprintf(out, "%s: the last %d bytes are a write that was cut short; the next start cuts them off\n",
				r.Segment, r.TailBytes)
		}
	}
	fmt.Fprintf(out, "%d segments, %d records, %d faults\n", len(reports), records, bad)
	if bad > 0 {
		return fmt.Errorf("the store is damaged")
	}
	return nil
}
