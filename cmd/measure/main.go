// Command measure takes the measurements that docs/measurements tells of. Each
// needs a built bin/cometrack and some idle cores.
package main

import (
	"fmt"
	"os"
)

func main() {
	tools := map[string]func(args []string) error{"fronts": fronts, "platform": platform, "journal": journalWaits, "kill": kills, "held": held, "backlog": backlogged, "disk": disk, "fleet": fleetLogs,
		"silent": silent, "console": consoles, "upgrade": upgrades, "doors": doors, "cluster": clusters, "knowledge": knowledge, "untried": untriedTable}
	if len(os.Args) < 2 || tools[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: measure fronts|platform|journal|kill|held|backlog|disk|fleet|silent|console|upgrade|doors|cluster|knowledge|untried [flags]")
		os.Exit(2)
	}
	if err := tools[os.Args[1]](os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}
