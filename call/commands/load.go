package commands

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
)

// The limits of the flags of the load command.
const (
	maxRate    = 5000
	maxSeconds = 300
)

// loadSettings are the settings of the load command, which sends requests
// alternately through an entry host and directly to an endpoint.
type loadSettings struct {
	once    onceSettings
	direct  string
	rate    int
	seconds int
}

func defaultLoad() loadSettings {
	return loadSettings{once: onceSettings{maxTokens: 8, timeoutSeconds: 30, priority: 5, stream: true}, rate: 1000, seconds: 10}
}

func (l *loadSettings) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("load")
	sub.Description = "sends the same requests in turn through an entry host and directly to an endpoint, on loopback"
	sub.String(&l.once.model, "m", "model", "model or adapter, loaded on the endpoint")
	sub.String(&l.direct, "", "direct", "IP:port of the endpoint")
	sub.Int(&l.rate, "r", "rate", "requests per second, half of them direct")
	sub.Int(&l.seconds, "", "seconds", "duration")
	sub.Int(&l.once.maxTokens, "", "maxTokens", "length of the answer in tokens")
	return sub
}

func (l *loadSettings) check() error {
	switch {
	case l.rate < 1 || l.rate > maxRate:
		return errors.Mark(fmt.Errorf("--rate: %d is not from 1 to %d", l.rate, maxRate), errUsage)
	case l.seconds < 1 || l.seconds > maxSeconds:
		return errors.Mark(fmt.Errorf("--seconds: %d is not from 1 to %d", l.seconds, maxSeconds), errUsage)
	}
	return checkLoopback("direct", l.direct)
}

// route holds the results of one of the two routes to the endpoint: through an
// entry host or direct.
type route struct {
	name    string
	address string

	mu     sync.Mutex
	first  *hdrhistogram.Histogram // microseconds
	total  *hdrhistogram.Histogram // microseconds
	failed int
}

func newRoute(name, address string) *route {
	const maxMicros, digits = 60_000_000, 3
	return &route{
		name: name, address: address,
		first: hdrhistogram.New(1, maxMicros, digits), total: hdrhistogram.New(1, maxMicros, digits),
	}
}

func (r *route) record(a answer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil || a.status != http.StatusOK || !a.complete {
		r.failed++
		return
	}
	_ = r.first.RecordValue(a.firstByte.Microseconds())
	_ = r.total.RecordValue(a.total.Microseconds())
}

// runLoad sends requests at a fixed rate, independent of the response times.
func runLoad(ctx context.Context, s settings, out io.Writer) error {
	l := s.load
	if err := l.check(); err != nil {
		return err
	}
	c := newCaller(s)
	hosts, err := c.addresses(ctx)
	if err != nil {
		return err
	}
	if err := checkLoopback("entries", hosts[0].Address); err != nil {
		return err
	}
	routes := []*route{newRoute("entry", hosts[0].Address), newRoute("direct", l.direct)}
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Second / time.Duration(l.rate))
	defer tick.Stop()
	for i := range l.rate * l.seconds {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		r := routes[i%len(routes)]
		l.once.body = fmt.Sprintf("request %d", i)
		path, header, body, err := l.once.request()
		if err != nil {
			return err
		}
		wg.Go(func() {
			a, err := c.post(ctx, r.address, path, header, body)
			r.record(a, err)
		})
	}
	wg.Wait()
	return printRoutes(out, routes)
}

func printRoutes(out io.Writer, routes []*route) error {
	failed := 0
	for _, r := range routes {
		failed += r.failed
		_, err := fmt.Fprintf(out, "route=%s requests=%d failed=%d firstByteP50=%dus firstByteP99=%dus totalP50=%dus totalP99=%dus\n",
			r.name, r.first.TotalCount(), r.failed,
			r.first.ValueAtQuantile(50), r.first.ValueAtQuantile(99), r.total.ValueAtQuantile(50), r.total.ValueAtQuantile(99))
		if err != nil {
			return err
		}
	}
	entry, direct := routes[0], routes[1]
	_, err := fmt.Fprintf(out, "added firstByteP50=%dus firstByteP99=%dus totalP50=%dus totalP99=%dus\n",
		entry.first.ValueAtQuantile(50)-direct.first.ValueAtQuantile(50),
		entry.first.ValueAtQuantile(99)-direct.first.ValueAtQuantile(99),
		entry.total.ValueAtQuantile(50)-direct.total.ValueAtQuantile(50),
		entry.total.ValueAtQuantile(99)-direct.total.ValueAtQuantile(99))
	if err == nil && failed > 0 {
		err = fmt.Errorf("%d requests failed", failed)
	}
	return err
}
