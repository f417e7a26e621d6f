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

// Locations of the slopes and of their page, relative to the root of the repository.
const (
	Folder = "docs/measurements/capacity" // the slopes, one JSON file each
	Page   = "docs/CAPACITY.md"           // the page with their tables
)

// Command runs `measure capacity` with the arguments after that: it measures slopes and writes them,
// or generates the tables of the slopes and inserts them into the page. A bench that fails does not
// keep the others from running; the error joins all failures.
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
		return updatePage(*dir, *page)
	}
	if *name == "" {
		if *name = treeCommit(); *name == "" {
			return errors.New("no commit is known: --commit says it")
		}
	}
	wanted, err := selectBenches(*only, *sizes)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	var wrong []error
	for _, b := range wanted {
		list, err := b.measure(&Setup{Program: *bin, ObservationTime: *span}, *repeats, log)
		if err != nil { // the other benches still run
			log.Error("not measured", "bench", b.Name, "err", err)
			wrong = append(wrong, err)
			continue
		}
		for _, s := range list {
			s.Command = fmt.Sprintf("measure capacity --only %s --repeats %d --span %v", b.Name, *repeats, *span)
			if *sizes != "" {
				s.Command += " --sizes " + *sizes
			}
			s.Commit, s.Machine = *name, machineName()
			if err := s.Write(*dir); err != nil {
				wrong = append(wrong, err)
			}
		}
		fmt.Print(slopesTable(list))
	}
	return errors.Join(wrong...)
}

// selectBenches returns the benches named in only, separated by commas, or all if it is empty. If
// sizes is not empty, its numbers replace the sizes of each of them.
func selectBenches(only, sizes string) ([]Bench, error) {
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

// updatePage prints the tables of the slopes in folder dir and inserts them into the page.
func updatePage(dir, page string) error {
	list, err := ReadSlopes(dir)
	if err != nil {
		return err
	}
	all := Tables(list)
	fmt.Print(all["shares"], "\n", all["slopes"])
	text, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	filled, err := FillTables(string(text), all)
	if err != nil {
		return fmt.Errorf("%s: %w", page, err)
	}
	return os.WriteFile(page, []byte(filled), 0o644)
}
