package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: trial CASE RECORD")
		os.Exit(2)
	}
	cases := map[string]func(*Trial) (bool, error){"order": playOrder, "lost": playLost, "split": playSplit, "one": playOne}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "trial: no case", os.Args[1])
		os.Exit(2)
	}
	os.Exit(run(play, os.Args[2]))
}

// run plays a case and returns the exit code: 1 if the rule was broken, 0 if it held, 2 if the
// case could not run.
func run(play func(*Trial) (bool, error), record string) int {
	t, err := NewTrial(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "trial:", err)
		return 2
	}
	defer t.End()
	broken, err := play(t)
	switch {
	case err != nil:
		t.Log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "trial:", err)
		return 2
	case broken:
		t.Log("the rule was broken")
		fmt.Println("broken")
		return 1
	default:
		t.Log("the rule held")
		fmt.Println("held")
		return 0
	}
}
