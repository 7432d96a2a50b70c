// Package commands implements the subcommands of tamarackctl.
package commands

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/caarlos0/env/v11"
	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
)

// outputFormats returns the values of --output.
func outputFormats() []string { return []string{"table", "json"} }

// settings are the settings of all subcommands; flags take precedence over the
// environment.
type settings struct {
	Servers string `env:"SERVERS" envDefault:"127.0.0.1:8090"`
	Output  string `env:"OUTPUT" envDefault:"table"`
	// TimeoutSeconds limits the whole command; watch has no limit.
	TimeoutSeconds int `env:"TIMEOUT_SECONDS" envDefault:"30"`
}

func (s *settings) check() error {
	if strings.TrimSpace(s.Servers) == "" {
		return errors.Mark(errors.New("--servers: empty, a comma-separated list of IP:port is required"), errUsage)
	}
	if !slices.Contains(outputFormats(), s.Output) {
		return errors.Mark(fmt.Errorf("--output: %q is not one of %v", s.Output, outputFormats()), errUsage)
	}
	if s.TimeoutSeconds < 1 || s.TimeoutSeconds > 3600 {
		return errors.Mark(fmt.Errorf("--timeout: %d is not from 1 to 3600 seconds", s.TimeoutSeconds), errUsage)
	}
	return nil
}

// app is one invocation of the program.
type app struct {
	settings settings
	deadline time.Time
	out      io.Writer
	clients  []client
}

// command is a subcommand with its flags bound.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context) error
	// untilInterrupted says that the command runs until it is interrupted.
	untilInterrupted bool
}

// Run executes the command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) ExitCode {
	a := &app{out: stdout}
	if err := env.ParseWithOptions(&a.settings, env.Options{Prefix: "TAMARACKCTL_"}); err != nil {
		_, _ = fmt.Fprintln(stderr, "tamarackctl: environment:", err)
		return ExitUsage
	}
	p := flaggy.NewParser("tamarackctl")
	p.Description = "changes and watches the configuration of tamarackknot.\n" +
		"  Exit codes: 0 done, 1 rejected, 2 usage, 3 conflict, 4 not changed (try later),\n" +
		"  5 outcome unknown, 6 accepted but not true before the timeout, 7 not found"
	p.DisableShowVersionWithVersion()
	p.ShowCompletion = false
	p.String(&a.settings.Servers, "s", "servers", "operator addresses of entry hosts, comma-separated IP:port, tried in order (TAMARACKCTL_SERVERS)")
	p.String(&a.settings.Output, "o", "output", "table or json (TAMARACKCTL_OUTPUT)")
	// A string, because flaggy's error for an invalid number does not name the
	// flag.
	timeout := strconv.Itoa(a.settings.TimeoutSeconds)
	p.String(&timeout, "t", "timeout", "seconds until the command gives up, 1 to 3600 (TAMARACKCTL_TIMEOUT_SECONDS)")
	commands := a.commands()
	for _, c := range commands {
		p.AttachSubcommand(c.sub, 1)
	}
	if err := p.ParseArgs(args); err != nil {
		_, _ = fmt.Fprintln(stderr, "tamarackctl:", err)
		return ExitUsage
	}
	var err error
	if a.settings.TimeoutSeconds, err = strconv.Atoi(timeout); err != nil {
		_, _ = fmt.Fprintf(stderr, "tamarackctl: --timeout: %q is not a whole number\n", timeout)
		return ExitUsage
	}
	err = a.dispatch(commands)
	if errors.Is(err, errNoCommand) {
		p.ShowHelp()
		return ExitUsage
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "tamarackctl:", err)
	}
	return exitCode(err)
}

var errNoCommand = errors.New("no subcommand given")

func (a *app) commands() []*command {
	return []*command{
		a.apply(), a.get(), a.list(), a.watch(), a.delete(), a.status(), a.drain(), a.undrain(), a.explain(), a.check(),
	}
}

func (a *app) dispatch(commands []*command) error {
	if err := a.settings.check(); err != nil {
		return err
	}
	if a.clients = newClients(a.settings.Servers); len(a.clients) == 0 {
		return errors.Mark(fmt.Errorf("--servers: %q names no address", a.settings.Servers), errUsage)
	}
	a.deadline = time.Now().Add(time.Duration(a.settings.TimeoutSeconds) * time.Second)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	for _, c := range commands {
		if !c.sub.Used {
			continue
		}
		if c.untilInterrupted {
			return c.run(ctx)
		}
		ctx, cancel := context.WithDeadline(ctx, a.deadline)
		defer cancel()
		return c.run(ctx)
	}
	return errNoCommand
}
