// Command stand runs the scripted cases of review/REPORT-2.md. It starts the processes of the
// deploy file on loopback addresses, with stand-ins of the platform's store, of replicas and of
// clients that follow the users' pages.
package main

import (
	"fmt"
	"os"
	"sort"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case and reports whether the rule was broken; an error means that it could not run.
type scenario func(w *world) (broken bool, err error)

func scenarios() map[string]scenario {
	return map[string]scenario{
		"slashes":   playSlashes,
		"pipelined": playPipelined,
	}
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	all := scenarios()
	if len(args) != 2 || all[args[0]] == nil {
		names := make([]string, 0, len(all))
		for name := range all {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER; cases:", names)
		return exitNotRun
	}
	w, err := newWorld(args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		return exitNotRun
	}
	defer w.close()
	broken, err := all[args[0]](w)
	switch {
	case err != nil:
		w.logf("could not run: %v", err)
		return exitNotRun
	case broken:
		w.logf("result: the rule was broken")
		return exitBroken
	default:
		w.logf("result: the rule held")
		return exitHeld
	}
}
