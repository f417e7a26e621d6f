// Command rig runs the cases of the independent review: it starts the program as the deploy file does, plays its
// clients, endpoints and platform, and judges only what these see.
//
//	rig CASE FOLDER with       runs a case and writes FOLDER/record.txt
//	rig CASE FOLDER without    does the same without the case's disruption
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxRun is the time after which a case is given up.
const maxRun = 110 * time.Second

// cases are the cases by name.
var cases = map[string]func(*rig) error{}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil || os.Args[3] != "with" && os.Args[3] != "without" {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER with|without")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Args[3] == "with"))
}

// run runs a case and returns the exit code.
func run(play func(*rig) error, folder string, trouble bool) int {
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return 2
	}
	defer os.RemoveAll(tmp)
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return 2
	}
	defer file.Close()
	r := &rig{tmp: tmp, file: file, began: time.Now(), trouble: trouble, launches: make(chan launch)}
	go r.launch()
	go r.watchLateness()
	defer r.close()
	r.note("rig", "with the disruption: %v", r.trouble)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	done := make(chan error, 1)
	go func() { done <- play(r) }()
	select {
	case err = <-done:
	case s := <-stopped:
		err = fmt.Errorf("ended by %v", s)
	case <-time.After(maxRun):
		err = fmt.Errorf("not done after %v", maxRun)
	}
	if err == nil {
		err = r.checkRun()
	}
	broken := r.brokenRules()
	switch {
	case err != nil:
		r.note("rig", "could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case len(broken) > 0:
		for _, line := range broken {
			r.note("judge", "broken: %s", line)
			fmt.Println("broken:", line)
		}
		return 1
	}
	r.note("judge", "held")
	fmt.Println("held")
	return 0
}
