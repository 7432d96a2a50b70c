// Package commands implements the subcommands of tamarackcall.
package commands

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
)

// The exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

var errUsage = errors.New("usage")

// settings are the settings of one invocation.
type settings struct {
	entries string
	domain  string
	once    onceSettings
	load    loadSettings
}

// Run executes the command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	s := settings{entries: "127.0.0.1:8081", once: onceSettings{model: "", maxTokens: 16, timeoutSeconds: 30}, load: defaultLoad()}
	p := flaggy.NewParser("tamarackcall")
	p.Description = "calls tamarackknot as a caller does: asks an entry host which addresses to use, then connects there"
	p.DisableShowVersionWithVersion()
	p.ShowCompletion = false
	p.String(&s.entries, "e", "entries", "IP:port of entry hosts to ask, comma-separated")
	p.String(&s.domain, "d", "failureDomain", "failure domain of the caller")
	once, load := s.once.subcommand(), s.load.subcommand()
	p.AttachSubcommand(once, 1)
	p.AttachSubcommand(load, 1)
	if err := p.ParseArgs(args); err != nil {
		_, _ = fmt.Fprintln(stderr, "tamarackcall:", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var err error
	switch {
	case once.Used:
		err = runOnce(ctx, s, stdout)
	case load.Used:
		err = runLoad(ctx, s, stdout)
	default:
		p.ShowHelp()
		return exitUsage
	}
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(stderr, "tamarackcall:", err)
	if errors.Is(err, errUsage) {
		return exitUsage
	}
	return exitFailed
}

// checkLoopback rejects an address outside of this machine, because the load
// command must be used with stand-ins only.
func checkLoopback(option, address string) error {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Mark(fmt.Errorf("--%s: %q is not of the form IP:port", option, address), errUsage)
	}
	if !ap.Addr().IsLoopback() {
		return errors.Mark(fmt.Errorf("--%s: %q is not a loopback address", option, address), errUsage)
	}
	return nil
}
