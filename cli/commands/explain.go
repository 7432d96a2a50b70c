package commands

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"tamarackknot.example/tamarackknot/cli/diagnosis"
)

// explainFlags are the flags of explain.
type explainFlags struct {
	logs            []string
	worth           []string
	plot            string
	intervalSeconds int
}

func (a *app) explain() *command {
	flags := explainFlags{intervalSeconds: 2}
	sub := flaggy.NewSubcommand("explain")
	sub.Description = "says from the logs of the hosts which requests were not answered in time and why"
	sub.StringSlice(&flags.logs, "l", "logs", "file with logs of one or more hosts; - or nothing for standard input")
	sub.StringSlice(&flags.worth, "w", "worth", "ROUTE=FULL:LATE, worth of a request in time and later; default 1:0")
	sub.String(&flags.plot, "p", "plot", "also save a chart over time: a file that ends in .svg, .png or .pdf")
	sub.Int(&flags.intervalSeconds, "i", "interval", "seconds of a moment, 1 to 3600")
	return &command{sub: sub, run: func(context.Context) error { return flags.run(a.out, a.settings.Output == "json") }}
}

func (f explainFlags) run(out io.Writer, asJSON bool) error {
	cfg := diagnosis.Config{Worth: make(map[string]diagnosis.Worth), Interval: time.Duration(f.intervalSeconds) * time.Second}
	if f.intervalSeconds < 1 || f.intervalSeconds > 3600 {
		return errors.Mark(fmt.Errorf("--interval: %d is not from 1 to 3600 seconds", f.intervalSeconds), errUsage)
	}
	for _, text := range f.worth {
		route, worth, err := parseWorth(text)
		if err != nil {
			return errors.Mark(err, errUsage)
		}
		cfg.Worth[route] = worth
	}
	in, closeAll, err := openLogs(f.logs)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	defer closeAll()
	logs, err := diagnosis.Read(in)
	if err != nil {
		return err
	}
	report := diagnosis.Explain(logs, cfg)
	write := report.WriteTables
	if asJSON {
		write = report.WriteJSON
	}
	if err := write(out); err != nil {
		return err
	}
	if logs.Skipped > 0 && !asJSON {
		if _, err := fmt.Fprintf(out, "lines that are not of a host: %d\n", logs.Skipped); err != nil {
			return err
		}
	}
	if f.plot == "" {
		return nil
	}
	if err := report.SavePlot(f.plot); err != nil {
		return errors.Mark(errors.Wrap(err, "--plot"), errUsage)
	}
	return nil
}

// parseWorth parses ROUTE=FULL:LATE.
func parseWorth(text string) (string, diagnosis.Worth, error) {
	route, values, ok := strings.Cut(text, "=")
	fullText, lateText, split := strings.Cut(values, ":")
	full, err1 := strconv.ParseFloat(fullText, 64)
	late, err2 := strconv.ParseFloat(lateText, 64)
	if !ok || !split || route == "" || err1 != nil || err2 != nil || full <= 0 || late < 0 || late > full {
		return "", diagnosis.Worth{}, fmt.Errorf("--worth: %q is not of the form ROUTE=FULL:LATE with 0 <= LATE <= FULL and 0 < FULL", text)
	}
	return route, diagnosis.Worth{Full: full, Late: late}, nil
}

// openLogs opens the files one after the other, or standard input.
func openLogs(paths []string) (io.Reader, func(), error) {
	if len(paths) == 0 {
		return os.Stdin, func() {}, nil
	}
	var readers []io.Reader
	var files []*os.File
	closeAll := func() {
		for _, f := range files {
			_ = f.Close() // opened for reading only
		}
	}
	for _, path := range paths {
		if path == "-" {
			readers = append(readers, os.Stdin)
			continue
		}
		f, err := os.Open(path) //nolint:gosec // the operator chooses the path
		if err != nil {
			closeAll()
			return nil, nil, errors.Wrap(err, "--logs")
		}
		files = append(files, f)
		readers = append(readers, f, strings.NewReader("\n"))
	}
	return io.MultiReader(readers...), closeAll, nil
}
