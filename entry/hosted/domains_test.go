package hosted

import (
	"context"
	"io"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot/dispatch"
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

// domainTraffic is what passed between failure domains in a test.
type domainTraffic struct {
	messages, messageBytes int
	requests, left         int // granted, and those of them to another domain
	refused                int
}

// leftBytes returns the bytes of the requests that left their domain, with their answers.
func (t domainTraffic) leftBytes() int { return t.left * (requestBytes + answerBytes) }

// domainSize is the size of a deployment with three failure domains and 300 requests a second.
func domainSize() clusterSize { return clusterSize{hosts: 72, engines: 63, slots: 24, domains: 3} }

// measureDomains runs a cluster and returns the traffic between its domains within a time.
func measureDomains(t *testing.T, size clusterSize, lasts time.Duration) (out domainTraffic) {
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
