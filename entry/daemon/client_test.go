package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"tamarackknot.example/tamarackknot/caller"
	"tamarackknot.example/tamarackknot/fake"
)

// responseGrace is how long after the deadline of a request its response may end.
const responseGrace = 2 * time.Second

// addressTTL is how long a client may cache a list of addresses.
const addressTTL = 10 * time.Second

// failureDetectionTime is how long a failed host may still be listed.
const failureDetectionTime = 3 * time.Second

// request is a request of a caller.
type request struct {
	id      string
	target  string // model or adapter; empty for the service without models
	prompt  string
	stream  bool
	key     string // idempotency key; empty if the request is repeatable
	created time.Time
	timeout time.Duration
}

// result is the outcome of the last attempt of a request.
type result struct {
	status   int
	run      string
	complete bool
	detail   string
	ended    time.Time
}

// client is a caller that caches addresses until they expire.
type client struct {
	c      *cluster
	http   *http.Client
	cached []caller.Address
}

func newClient(c *cluster) *client {
	return &client{c: c, http: &http.Client{Transport: &http.Transport{DialContext: c.net.Host("caller").Dial}}}
}

// addresses returns the cached addresses, or asks the entry hosts in turn.
func (cl *client) addresses(ctx context.Context, seed int) []caller.Address {
	if len(cl.cached) > 0 && time.Now().Before(cl.cached[0].KeepUntil) {
		return cl.cached
	}
	for i := range clusterHosts {
		address := fmt.Sprintf("10.0.0.%d:80", (seed+i)%clusterHosts+1)
		ctx, cancel := context.WithDeadline(ctx, time.Now().Add(time.Second))
		resp, err := cl.get(ctx, "http://"+address+"/v1/entryhosts?failureDomain=f1")
		cancel()
		if err == nil {
			cl.cached = resp
			return resp
		}
	}
	return nil
}

func (cl *client) get(ctx context.Context, url string) ([]caller.Address, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := cl.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var out struct {
		EntryHosts []caller.Address `json:"entryHosts"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK || len(out.EntryHosts) == 0 {
		return nil, fmt.Errorf("status %d, %d addresses", resp.StatusCode, len(out.EntryHosts))
	}
	return out.EntryHosts, nil
}

// do sends a request. If the connection breaks, a request with an idempotency key
// is retried once on another host with the same key.
func (cl *client) do(r request, seed int) result {
	r.created = time.Now()
	deadline := r.created.Add(r.timeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(responseGrace))
	defer cancel()
	defer cl.http.CloseIdleConnections()
	hosts := cl.addresses(ctx, seed)
	attempts := 1
	if r.key != "" {
		attempts = 2
	}
	res, delayExpected := result{detail: "no entry host responded"}, false
	for i := 0; i < len(hosts) && attempts > 0; i++ {
		h := hosts[(i+seed)%len(hosts)]
		n := cl.c.byAddress(h.Address)
		start := time.Now()
		var reached bool
		res, reached = cl.send(ctx, r, h.Address, deadline)
		expected := n.failureExpected(start, h.KeepUntil)
		delayExpected = delayExpected || expected
		if !reached && !expected {
			cl.c.reportViolation("request %s: %s, listed until %s, cannot be reached: %s", r.id, h.Address, h.KeepUntil.Format(time.TimeOnly), res.detail)
		}
		if !reached {
			continue
		}
		if res.status == 0 && !expected {
			cl.c.reportViolation("request %s: connection broken by %s, which was not killed (terminated at %s): %s", r.id, n.process, n.termAt.Format(time.TimeOnly), res.detail)
		}
		if res.status != 0 {
			break
		}
		attempts--
	}
	res.ended = time.Now()
	if res.ended.After(deadline.Add(responseGrace-time.Millisecond)) && !delayExpected {
		cl.c.reportViolation("request %s: no response %s after its deadline: %s", r.id, responseGrace, res.detail)
	}
	return res
}

// failureExpected reports whether a connection to a listed address is allowed to
// fail: the process was killed or paused, or was started after the address list was
// sent. A failed process may be listed for failureDetectionTime and cached for
// addressTTL.
func (n *node) failureExpected(start, keepUntil time.Time) bool {
	n.mu.Lock()
	paused := n.paused || n.resumed.After(start)
	n.mu.Unlock()
	if paused {
		return true
	}
	if k := n.killedAt(); !k.IsZero() {
		return start.Sub(k) <= failureDetectionTime+addressTTL+time.Second
	}
	return !n.started.Before(keepUntil.Add(-addressTTL)) || !n.started.Before(start)
}

// byAddress returns the last node that was started with a caller address.
func (c *cluster) byAddress(address string) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var last *node
	for _, n := range c.all {
		if n.address == address {
			last = n
		}
	}
	return last
}

// send makes one attempt. Status 0 means that the response was not complete;
// reached is false if no connection could be opened.
func (cl *client) send(ctx context.Context, r request, address string, deadline time.Time) (res result, reached bool) {
	url, body := "http://"+address+"/services/booking/orders", r.prompt
	if r.target != "" {
		url = "http://" + address + "/v1/completions"
		data, _ := json.Marshal(map[string]any{"model": r.target, "prompt": r.prompt, "stream": r.stream, "max_tokens": 8})
		body = string(data)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return result{detail: err.Error()}, false
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(fake.RequestIDHeader, r.id)
	req.Header.Set("Request-Deadline", deadline.UTC().Format(time.RFC3339Nano))
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
		req.Header.Set("Request-Created", r.created.UTC().Format(time.RFC3339Nano))
		req.Header.Set("Request-Repeatable", "false")
	}
	resp, err := cl.http.Do(req)
	if err != nil {
		return result{detail: err.Error()}, !strings.Contains(err.Error(), "dial ")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil && resp.StatusCode == http.StatusOK && len(data) > 0 {
		// A truncated response that the client sees as an error is allowed.
		return result{status: resp.StatusCode, detail: "truncated: " + err.Error()}, true
	}
	if err != nil {
		return result{detail: err.Error()}, true
	}
	return cl.c.checkResponse(r, resp, data), true
}

// checkResponse compares a response with what the fake endpoint produces for the
// request.
func (c *cluster) checkResponse(r request, resp *http.Response, data []byte) result {
	res := result{status: resp.StatusCode}
	if resp.StatusCode != http.StatusOK {
		var e struct {
			Error struct {
				Message string `json:"message"`
				Run     string `json:"run"`
			} `json:"error"`
		}
		if json.Unmarshal(data, &e) != nil || e.Error.Run == "" {
			c.reportViolation("request %s: status %d without a run field: %.200s", r.id, resp.StatusCode, data)
		}
		res.run, res.detail = e.Error.Run, e.Error.Message
		return res
	}
	text, complete := string(data), true
	switch {
	case r.target != "" && r.stream:
		text, complete = streamText(data)
	case r.target != "":
		text = bodyText(data)
	}
	want := r.prompt
	if r.target != "" {
		want = strings.Join(fake.Tokens(r.target, r.prompt, 8), "")
	}
	res.complete = complete
	if !complete && !bytes.Contains(data, []byte("error")) {
		c.reportViolation("request %s: stream ended without terminal marker and without an error", r.id)
	}
	if complete && text != want {
		c.reportViolation("request %s: response %q, its endpoint produced %q", r.id, text, want)
	}
	return res
}

// streamText returns the text of a stream of events; complete reports whether the
// terminal event was received.
func streamText(data []byte) (text string, complete bool) {
	for line := range strings.SplitSeq(string(data), "\n") {
		event, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if event == "[DONE]" {
			return text, true
		}
		text += bodyText([]byte(event))
	}
	return text, false
}

func bodyText(data []byte) string {
	var e struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if json.Unmarshal(data, &e) != nil || len(e.Choices) == 0 {
		return ""
	}
	return e.Choices[0].Text
}

// newKey returns a random idempotency key. It is not a UUIDv7, because package
// uuid never lets the time in these go back, and the clock of each synctest bubble
// starts again in 2000.
func newKey() string { return uuid.NewString() }
