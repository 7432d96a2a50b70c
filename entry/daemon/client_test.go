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

// answerGrace is how late after its deadline an answer may arrive.
const answerGrace = 2 * time.Second

// addressTTL is how long an address answer may be kept.
const addressTTL = 10 * time.Second

// suspicionTime is how long a host that is gone may still be named.
const suspicionTime = 3 * time.Second

// request is one request of a caller.
type request struct {
	id      string
	target  string // model or adapter; empty for the plain service
	prompt  string
	stream  bool
	key     string // empty: repeatable
	created time.Time
	timeout time.Duration
}

// result is what the caller of a request saw last.
type result struct {
	status int
	run    string
	whole  bool
	detail string
	ended  time.Time
}

// client is a caller that keeps addresses as long as it may.
type client struct {
	c    *cluster
	http *http.Client
	kept []caller.Address
}

func newClient(c *cluster) *client {
	return &client{c: c, http: &http.Client{Transport: &http.Transport{DialContext: c.net.Host("caller").Dial}}}
}

// addresses returns the kept answer, or asks the entry hosts in turn.
func (cl *client) addresses(ctx context.Context, seed int) []caller.Address {
	if len(cl.kept) > 0 && time.Now().Before(cl.kept[0].KeepUntil) {
		return cl.kept
	}
	for i := range clusterHosts {
		address := fmt.Sprintf("10.0.0.%d:80", (seed+i)%clusterHosts+1)
		ctx, cancel := context.WithDeadline(ctx, time.Now().Add(time.Second))
		resp, err := cl.get(ctx, "http://"+address+"/v1/entryhosts?failureDomain=f1")
		cancel()
		if err == nil {
			cl.kept = resp
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

// do sends a request. A keyed one whose connection broke is sent once more,
// elsewhere, under the same key.
func (cl *client) do(r request, seed int) result {
	r.created = time.Now()
	deadline := r.created.Add(r.timeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(answerGrace))
	defer cancel()
	defer cl.http.CloseIdleConnections()
	hosts := cl.addresses(ctx, seed)
	attempts := 1
	if r.key != "" {
		attempts = 2
	}
	res, excused := result{detail: "no entry host answers"}, false
	for i := 0; i < len(hosts) && attempts > 0; i++ {
		h := hosts[(i+seed)%len(hosts)]
		n := cl.c.byAddress(h.Address)
		began := time.Now()
		var reached bool
		res, reached = cl.send(ctx, r, h.Address, deadline)
		disturbed := n.disturbed(began, h.KeepUntil)
		excused = excused || disturbed
		if !reached && !disturbed {
			cl.c.violate("request %s: %s, named until %s, cannot be reached: %s", r.id, h.Address, h.KeepUntil.Format(time.TimeOnly), res.detail)
		}
		if !reached {
			continue
		}
		if res.status == 0 && !disturbed {
			cl.c.violate("request %s: cut off by %s, which was not killed (term %s): %s", r.id, n.process, n.term.Format(time.TimeOnly), res.detail)
		}
		if res.status != 0 {
			break
		}
		attempts--
	}
	res.ended = time.Now()
	if res.ended.After(deadline.Add(answerGrace-time.Millisecond)) && !excused {
		cl.c.violate("request %s: no answer %s after its deadline: %s", r.id, answerGrace, res.detail)
	}
	return res
}

// disturbed reports whether a broken connection to a named address is excused:
// the process was killed or paused, or was started after the answer that names
// it. A
// process that is gone may be named for suspicionTime and addressTTL.
func (n *node) disturbed(began, keepUntil time.Time) bool {
	n.mu.Lock()
	paused := n.paused || n.resumed.After(began)
	n.mu.Unlock()
	if paused {
		return true
	}
	if k := n.killedAt(); !k.IsZero() {
		return began.Sub(k) <= suspicionTime+addressTTL+time.Second
	}
	return !n.started.Before(keepUntil.Add(-addressTTL)) || !n.started.Before(began)
}

// byAddress returns the node that listens at a callers' address.
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

// send makes one attempt. Status 0 means that no whole answer came; reached is
// false if no connection could be opened.
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
		// A cut answer is seen as an error, as promised.
		return result{status: resp.StatusCode, detail: "cut: " + err.Error()}, true
	}
	if err != nil {
		return result{detail: err.Error()}, true
	}
	return cl.c.judge(r, resp, data), true
}

// judge compares an answer with what the endpoint produces for the request.
func (c *cluster) judge(r request, resp *http.Response, data []byte) result {
	res := result{status: resp.StatusCode}
	if resp.StatusCode != http.StatusOK {
		var e struct {
			Error struct {
				Message string `json:"message"`
				Run     string `json:"run"`
			} `json:"error"`
		}
		if json.Unmarshal(data, &e) != nil || e.Error.Run == "" {
			c.violate("request %s: status %d without a run field: %.200s", r.id, resp.StatusCode, data)
		}
		res.run, res.detail = e.Error.Run, e.Error.Message
		return res
	}
	text, whole := string(data), true
	switch {
	case r.target != "" && r.stream:
		text, whole = streamText(data)
	case r.target != "":
		text = bodyText(data)
	}
	want := r.prompt
	if r.target != "" {
		want = strings.Join(fake.Tokens(r.target, r.prompt, 8), "")
	}
	res.whole = whole
	if !whole && !bytes.Contains(data, []byte("error")) {
		c.violate("request %s: stream ended without terminal marker and without an error", r.id)
	}
	if whole && text != want {
		c.violate("request %s: answer %q, its endpoint produced %q", r.id, text, want)
	}
	return res
}

func streamText(data []byte) (text string, whole bool) {
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

// newKey returns a key without a time of its own: package uuid never lets the
// time in a UUIDv7 go back, but the clock of each bubble starts in 2000 again.
func newKey() string { return uuid.NewString() }
