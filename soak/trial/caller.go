package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"tamarackknot.example/tamarackknot/fake"
)

const (
	callTime = 6 * time.Second
	// lateTime is how long after its deadline a request must be answered.
	lateTime = 3 * time.Second
	maxPause = 120 // ms between two requests of a caller
	tokens   = 16  // of a completion, the stand-in's default
)

// caller makes requests one after the other.
type caller struct {
	trial  *trial
	random *rand.Rand
	name   string
	client *http.Client
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: hosts, DisableCompression: true}}
}

func (c *caller) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		host, kind, model := c.random.IntN(hosts), c.random.IntN(3), fmt.Sprintf("m-%d", c.random.IntN(models))
		pause := time.Duration(c.random.IntN(maxPause)) * time.Millisecond
		id := fmt.Sprintf("%s-%d", c.name, n)
		// A request under way is finished, so that its outcome is known.
		callCtx := context.WithoutCancel(ctx)
		address := c.trial.cluster.address(frontPorts, host)
		if kind == 2 { //nolint:mnd // a third of the requests
			c.book(callCtx, address, c.trial.cluster.address(frontPorts, hosts-1), id)
		} else {
			c.complete(callCtx, address, id, model, kind == 1)
		}
		time.Sleep(pause)
	}
}

// answer is what came back for one attempt.
type answer struct {
	status int
	body   string
	whole  bool
	retry  bool
}

// call makes one attempt, with an idempotency key unless that is empty.
func (c *caller) call(ctx context.Context, address, path, body, id, key string) answer {
	deadline := time.Now().Add(callTime)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(lateTime))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		c.trial.violate("%s: %v", id, err)
		return answer{}
	}
	req.GetBody = nil // net/http must not send a request again by itself
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("Request-Deadline", deadline.Format(time.RFC3339Nano))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, string(data), err == nil, resp.Header.Get("Retry-After") != ""}
}

// told notes an answer and reports whether it is a success.
func (c *caller) told(id string, a answer, atMostOnce bool) bool {
	t := c.trial
	var e struct {
		Error struct {
			Run string `json:"run"`
		} `json:"error"`
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requests[id]
	if r == nil {
		r = &claim{atMostOnce: atMostOnce, notRun: true}
		t.requests[id] = r
	}
	switch {
	case !a.whole:
		t.report.Broken++
		r.notRun = false
		return false
	case a.status == http.StatusOK:
		t.report.Answered++
		r.ran, r.notRun = true, false
		return true
	}
	if err := json.Unmarshal([]byte(a.body), &e); err != nil || e.Error.Run == "" {
		// The answer of a part that has no request of its own to tell of.
		t.violations = append(t.violations, fmt.Sprintf("%s: status %d does not say whether the request ran: %.200s", id, a.status, a.body))
		return false
	}
	switch e.Error.Run {
	case "notRun":
		t.report.Refused++
	default:
		t.report.Unknown++
		r.notRun = false
	}
	return false
}

// complete asks a model and checks that the answer is whole and its own.
func (c *caller) complete(ctx context.Context, address, id, model string, stream bool) bool {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"stream":%t}`, model, id, stream)
	a := c.call(ctx, address, "/v1/completions", body, id, "")
	if !c.told(id, a, false) {
		return false
	}
	var text string
	done := true
	if stream {
		text, done = streamText(a.body)
		if strings.Contains(a.body, `"error"`) {
			return false
		}
	} else {
		var whole struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(a.body), &whole); err != nil || len(whole.Choices) != 1 {
			c.trial.violate("%s: not a completion: %.200s", id, a.body)
			return false
		}
		text = whole.Choices[0].Text
	}
	if want := strings.Join(fake.Tokens(model, id, tokens), ""); text != want || !done {
		c.trial.violate("%s: the answer is another one or not whole (end %t): %q, want %q", id, done, text, want)
		return false
	}
	return true
}

// streamText joins the events of a stream and reports whether it ends as it
// must.
func streamText(body string) (string, bool) {
	var text strings.Builder
	done := false
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var chunk struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) == 1 {
			text.WriteString(chunk.Choices[0].Text)
		}
	}
	return text.String(), done
}

// book makes a request that may run once. Without an answer it is made again
// at another host, under the same key.
func (c *caller) book(ctx context.Context, address, other, id string) {
	key, err := uuid.NewV7()
	if err != nil {
		c.trial.violate("%s: %v", id, err)
		return
	}
	for _, host := range []string{address, other, address} {
		a := c.call(ctx, host, "/services/app/book", "for "+id, id, key.String())
		if c.told(id, a, true) {
			if a.body != "for "+id {
				c.trial.violate("%s: the answer is another one: %.200s", id, a.body)
			}
			return
		}
		if a.whole && !a.retry {
			return
		}
	}
}
