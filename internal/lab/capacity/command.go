package capacity

import (
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"strconv"
	"strings"
	"time"
)

// Where slopes and their page lie, from the root of the repository.
const (
	Folder = "docs/measurements/capacity"
	Page   = "docs/CAPACITY.md"
)

// Command is `measure capacity`: it measures slopes and writes them, or prints the
// tables that the slopes give and puts them into the page.
func Command(args []string) error {
	fs := flag.NewFlagSet("capacity", flag.ContinueOnError)
	bin := fs.String("bin", "bin/cometrack", "the program")
	only := fs.String("only", "", "benches by name, with commas; all if empty")
	sizes := fs.String("sizes", "", "other sizes for the benches that run, with commas")
	repeats := fs.Int("repeats", 3, "values for each size")
	span := fs.Duration("span", 2*time.Second, "how long what goes on is watched")
	name := fs.String("commit", "", "of the program; the tree's if empty")
	dir := fs.String("dir", Folder, "folder of the slopes")
	page := fs.String("page", Page, "page with the tables")
	table := fs.Bool("table", false, "measure nothing: print the tables and put them into the page")
	if err := fs.Parse(args); err != nil {
		return err
	}
	if *table {
		return tables(*dir, *page)
	}
	if *name == "" {
		if *name = commit(); *name == "" {
			return errors.New("no commit is known: --commit says it")
		}
	}
	wanted, err := choose(*only, *sizes)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	var wrong []error
	for _, b := range wanted {
		list, err := b.measure(&Rig{Bin: *bin, Span: *span}, *repeats, log)
		if err != nil { // the others are still worth their time
			log.Error("not measured", "bench", b.Name, "err", err)
			wrong = append(wrong, err)
			continue
		}
		for _, s := range list {
			s.Command = fmt.Sprintf("measure capacity --only %s --repeats %d --span %v", b.Name, *repeats, *span)
			if *sizes != "" {
				s.Command += " --sizes " + *sizes
			}
			s.Commit, s.Machine = *name, machine()
			if err := s.Write(*dir); err != nil {
				wrong = append(wrong, err)
			}
		}
		fmt.Print(slopes(list))
	}
	return errors.Join(wrong...)
}

// choose picks benches by name and gives them other sizes.
func choose(only, sizes string) ([]Bench, error) {
	var out []Bench
	all := Benches()
	if only == "" {
		out = all
	}
	for name := range strings.SplitSeq(only, ",") {
		found := only == ""
		for _, b := range all {
			if b.Name == name {
				out, found = append(out, b), true
			}
		}
		if !found {
			var names []string
			for _, b := range all {
				names = append(names, b.Name)
			}
			return nil, fmt.Errorf("--only %s: %q is none of %s", only, name, strings.Join(names, ", "))
		}
	}
	if sizes == "" {
		return out, nil
	}
	var list []int
	for text := range strings.SplitSeq(sizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return nil, fmt.Errorf("--sizes %s: %q is no size", sizes, text)
		}
		list = append(list, n)
	}
	for i := range out {
		out[i].Sizes = list
	}
	return out, nil
}

func tables(dir, page string) error {
	list, err := Read(dir)
	if err != nil {
		return err
	}
	all := Tables(list)
	fmt.Print(all["shares"], "\n", all["slopes"])
	text, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	filled, err := Fill(string(text), all)
	if err != nil {
		return fmt.Errorf("%s: %w", page, err)
	}
	return os.WriteFile(page, []byte(filled), 0o644)
}
