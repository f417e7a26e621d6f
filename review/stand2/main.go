// Command review-2 plays the cases of the second independent review: it starts the program as the platform does, with
// stand-ins for clients, endpoints and the platform, and judges what they saw.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime bounds the run of a case.
const maxRunTime = 110 * time.Second

// world is what a case works with.
type world struct {
	rec     *recorder
	root    string // of the repository
	dir     string // temporary folder
	trouble bool   // with the disruption
}

// cases are the cases by name. Each returns what broke the rule, or nothing if it held.
var cases = map[string]func(*world) (broken []string, err error){
	"address":  addressTakenOver,
	"untried":  untriedGivenUp,
	"settings": settingsReplaced,
	"refused":  refusesAll,
}

func main() {
	runtime.LockOSThread() // senders end with this thread
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD, from the root of the repository")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, record string) int {
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	root, err := filepath.Abs(".")
	if err != nil {
		return exitNotRun
	}
	time.AfterFunc(maxRunTime, func() {
		fmt.Println("could not run: it took too long")
		os.RemoveAll(dir)
		os.Exit(exitNotRun)
	})
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		os.RemoveAll(dir)
		os.Exit(exitNotRun)
	}()
	broken, err := cases[name](&world{rec: rec, root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0"})
	if err != nil {
		rec.printf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	}
	for _, text := range broken {
		rec.printf("BROKEN: %s", text)
		fmt.Println("broken:", text)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	rec.printf("the rule held")
	fmt.Println("held")
	return exitHeld
}
