// Command stand3 runs one of the review's cases: it starts the project's processes with
// stand-ins for the store, the replicas and the clients, and judges what these have seen. It
// exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

func main() {
	cases := map[string]func(w *world, trouble bool) (broken bool, err error){
		"killed": killed, "rolling": rolling, "rolling-split": rollingSplit, "in-place": inPlace, "other-writer": otherWriter,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE RECORD")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	code := 2
	result := make(chan int, 1)
	go func() { result <- judge(w, cases[os.Args[1]]) }()
	select {
	case code = <-result:
	case <-ended:
	case <-time.After(110 * time.Second):
		w.log("not finished in time")
	}
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		_ = os.CopyFS(dir, os.DirFS(w.dir))
	}
	w.close()
	os.Exit(code)
}

func judge(w *world, c func(*world, bool) (bool, error)) int {
	broken, err := c(w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		w.log("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		w.log("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	default:
		w.log("the rule held")
		fmt.Println("the rule held")
		return 0
	}
}
