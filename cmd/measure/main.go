// Command measure takes the measurements that docs/measurements describes, one for
// each subcommand. Most of them need a built bin/cometrack and some idle cores.
package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"cometrack/internal/lab/capacity"
)

// main runs the measurement that the first argument names, with the other arguments. It exits with 2 for an
// unknown name and with 1 if the measurement fails.
func main() {
	commands := map[string]func(args []string) error{
		"backlog": measureBacklog, "capacity": capacity.Command, "cluster": measureCluster, "console": measureConsole,
		"discovery": measureDiscovery, "disk": testFullDisk, "doors": measureListenerTakeover,
		"fleet": summarizeFleetLogs, "fronts": measureFronts, "held": measurePending, "hollow": measureHollow,
		"journal": measureJournal, "kill": runKills, "knowledge": measureFacts, "platform": measurePlatform,
		"ready": measureReady, "silent": measureSilent, "soak": runSoak, "crossings": runCrossings, "plants": runPlants,
		"untried": measureUntried, "upgrade": measureUpgrades,
	}
	if len(os.Args) < 2 || commands[os.Args[1]] == nil {
		fmt.Fprintf(os.Stderr, "usage: measure %s [flags]\n", strings.Join(slices.Sorted(maps.Keys(commands)), "|"))
		os.Exit(2)
	}
	if err := commands[os.Args[1]](os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}
