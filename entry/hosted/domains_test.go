package hosted

import (
	"context"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/discovery"
	"tamarackknot.example/tamarackknot/dispatch"
	"tamarackknot.example/tamarackknot/ingress"
	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	// requestBytes are those of a request with its headers, answerBytes those of an answer: 43
	// events of 50 bytes with their framing, and headers.
	requestBytes = 1500 + 500
	answerBytes  = 43*(50+6) + 300
	streamTime   = 1500 * time.Millisecond
	// deployedDomainPrice is the price that the deploy file sets.
	deployedDomainPrice = 5000
)

// crossTraffic is what passed between failure domains in a test.
type crossTraffic struct {
	messages, messageBytes int
	requests, left         int // granted, and those of them to another domain
	refused                int
}

// leftBytes returns the bytes of the requests that left their domain, with their answers.
func (t crossTraffic) leftBytes() int { return t.left * (requestBytes + answerBytes) }

// domainSize is the size of a deployment with three failure domains and 300 requests a second.
func domainSize() clusterSize { return clusterSize{hosts: 72, engines: 63, slots: 24, domains: 3} }

// measureDomains runs a cluster and returns the traffic between its domains within a time.
func measureDomains(t *testing.T, size clusterSize, lasts time.Duration) (out crossTraffic) {
	t.Helper()
	var requests, left, refused atomic.Int64
	synctest.Test(t, func(*testing.T) {
		c, cancel := startCluster(size, true, io.Discard, func(ctx context.Context, h *clusterHost) {
			for n := h.number(); wait.For(ctx, 240*time.Millisecond); n++ {
				h.c.wg.Go(func() { h.stream(ctx, n, &requests, &left, &refused) })
			}
		})
		c.quiet = true
		wait.For(c.ctx, 10*time.Second)
		c.peers.ResetCounts()
		requests.Store(0)
		left.Store(0)
		refused.Store(0)
		wait.For(c.ctx, lasts)
		for method, n := range c.peers.Between(func(from, to string) bool { return size.domainOf(from) != size.domainOf(to) }) {
			t.Logf("%s: %d messages, %d bytes", method, n.Messages, n.Bytes)
			out.messages += n.Messages
			out.messageBytes += n.Bytes
		}
		out.requests, out.left, out.refused = int(requests.Load()), int(left.Load()), int(refused.Load())
		cancel()
		c.wg.Wait()
		c.peers.Wait()
	})
	t.Logf("%d requests, %d left their domain (%d bytes), %d refused; %d messages between domains (%d bytes)",
		out.requests, out.left, out.leftBytes(), out.refused, out.messages, out.messageBytes)
	return out
}

// stream sends one request and counts where it went.
func (h *clusterHost) stream(ctx context.Context, n int, requests, left, refused *atomic.Int64) {
	now := time.Now()
	callCtx, cancel := context.WithDeadline(ctx, now.Add(4*time.Second))
	defer cancel()
	grant, _ := h.dispatch.Acquire(callCtx, &dispatch.Request{
		ID: h.name + "-" + strconv.Itoa(n), Service: engineService, Model: modelName(n * 5 % clusterModels), Arrived: now,
		Objective: now.Add(500 * time.Millisecond), Deadline: now.Add(4 * time.Second), AnsweredBy: now.Add(4 * time.Second),
	})
	if grant == nil {
		refused.Add(1)
		return
	}
	requests.Add(1)
	if grant.Endpoint.FailureDomain != h.self.FailureDomain {
		left.Add(1)
	}
	wait.For(ctx, streamTime)
	grant.Done(dispatch.ResultAnswered)
}

// TestDomainTraffic guards against bytes within a failure domain that count as leaving it, and
// against bytes to others that do not count or count for the wrong reason.
func TestDomainTraffic(t *testing.T) {
	hosts := []tamarackknot.HostEntry{{Name: "h1", FailureDomain: "z1", Address: "a1"}, {Name: "h2", FailureDomain: "z2", Address: "a2"}}
	traffic := newDomainTraffic("z1", func() []tamarackknot.HostEntry { return hosts }, nil)
	traffic.setEndpoints(&discovery.Snapshot{Endpoints: map[string]tamarackknot.EndpointEntry{
		"e1": {Address: "b1", FailureDomain: "z1"}, "e2": {Address: "b2", FailureDomain: "z2"},
	}})
	for _, host := range []string{"h1", "h2", "unknown"} {
		traffic.countMessage(host, "board.view", 10)
		traffic.countMessage(host, "relay.chunk", 20)
		traffic.countMessage(host, "quota.take", 40)
	}
	exchange := func(dial ingress.DialFunc, address string) {
		conn, err := dial(t.Context(), "tcp", address)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = conn.Write([]byte("123"))
		require.NoError(t, err)
		_, err = io.ReadFull(conn, make([]byte, 5))
		require.NoError(t, err)
	}
	dial := func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			_, _ = io.ReadFull(far, make([]byte, 3))
			_, _ = far.Write([]byte("12345"))
		}()
		return near, nil
	}
	for _, address := range []string{"a1", "a2", "b1", "b2", "unknown"} {
		exchange(traffic.countRequests(dial), address)
	}
	exchange(traffic.countOrders(dial), "b2")
	counts := func(counters ...metrics.Counter) (out []int64) {
		for _, c := range counters {
			out = append(out, c.Count())
		}
		return out
	}
	require.Equal(t, []int64{2 * 3, 2 * 5, 3 + 5}, counts(traffic.requests, traffic.answers, traffic.orders))
	require.Equal(t, []int64{10, 20, 40}, counts(traffic.fleet, traffic.configuration, traffic.other))
}

// TestBytesBetweenDomains guards against hosts whose own messages take more of the traffic
// between failure domains than the requests, and against a price of that traffic that does not
// halve it.
func TestBytesBetweenDomains(t *testing.T) {
	const lasts = 40 * time.Second
	free, size := measureDomains(t, domainSize(), lasts), domainSize()
	require.Positive(t, free.left)
	require.Less(t, free.messageBytes, free.leftBytes())
	size.domainPrice = deployedDomainPrice
	priced := measureDomains(t, size, lasts)
	require.Less(t, priced.leftBytes()+priced.messageBytes, (free.leftBytes()+free.messageBytes)/2)
	require.LessOrEqual(t, priced.refused, free.refused)
}

// TestPriceOnSomeHosts guards against hosts with and without a price that don't understand
// each other, whichever of them plans, as while hosts are replaced.
func TestPriceOnSomeHosts(t *testing.T) {
	size := clusterSize{hosts: 12, engines: 18, slots: 24, domains: 3, strongHosts: 1}
	free := measureDomains(t, size, 15*time.Second)
	size.domainPrice, size.somePriced = deployedDomainPrice, true
	for strong := range 2 {
		size.strongHost = strong
		mixed := measureDomains(t, size, 15*time.Second)
		require.LessOrEqual(t, mixed.refused, free.refused)
		require.Less(t, mixed.left, free.left)
	}
}
