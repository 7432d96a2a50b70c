// Command tamaracksoak runs the programs against a simulated platform and
// simulated endpoints, injects faults into processes and connections, and checks
// the results that callers and endpoints see.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"tamarackknot.example/tamarackknot/soak/trial"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "tamaracksoak:", err)
		os.Exit(1)
	}
}

func run() error {
	seed, seconds, port, bin := strconv.FormatInt(time.Now().UnixNano()%1e9, 10), "20", "19000", "bin"
	p := flaggy.NewParser("tamaracksoak")
	p.Description = "tests the whole system under faults; the same seed gives the same faults and requests"
	p.DisableShowVersionWithVersion()
	p.ShowCompletion = false
	p.String(&seed, "s", "seed", "seed of the random faults and requests, a whole number")
	p.String(&seconds, "t", "seconds", "duration of the fault injection in seconds, 1 to 3600")
	p.String(&port, "p", "port", "first of 600 ports on 127.0.0.1")
	p.String(&bin, "b", "bin", "directory that contains the programs")
	if err := p.ParseArgs(os.Args[1:]); err != nil {
		return errors.Wrap(err, "flags")
	}
	numbers := make([]uint64, 0, 3)
	for _, o := range []struct {
		name, value string
		low, high   uint64
	}{{"seed", seed, 0, 1 << 62}, {"seconds", seconds, 1, 3600}, {"port", port, 1024, 64000}} {
		n, err := strconv.ParseUint(o.value, 10, 64)
		if err != nil || n < o.low || n > o.high {
			return fmt.Errorf("--%s: %q is not a whole number from %d to %d", o.name, o.value, o.low, o.high)
		}
		numbers = append(numbers, n)
	}
	fmt.Println("seed", seed) //nolint:forbidigo // the program's output
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	report, err := trial.Run(ctx, trial.Config{
		Seed: numbers[0], FaultDuration: time.Duration(numbers[1]) * time.Second, Port: int(numbers[2]), Bin: bin,
	})
	fmt.Println(report) //nolint:forbidigo // the program's output
	return errors.Wrapf(err, "seed %s", seed)
}
