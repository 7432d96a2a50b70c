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
	requestTimeout = 6 * time.Second
	// responseGrace is how long a caller waits for the response after the
	// deadline of a request.
	responseGrace         = 3 * time.Second
	maxRequestPauseMillis = 120 // between two requests of a caller
	completionTokens      = 16  // default of tamarackstandin
)

// caller sends random requests one after the other.
type caller struct {
	trial  *trial
	random *rand.Rand
	name   string
	client *http.Client
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: hostCount, DisableCompression: true}}
}

func (c *caller) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		host, kind, model := c.random.IntN(hostCount), c.random.IntN(3), fmt.Sprintf("m-%d", c.random.IntN(modelCount))
		pause := time.Duration(c.random.IntN(maxRequestPauseMillis)) * time.Millisecond
		id := fmt.Sprintf("%s-%d", c.name, n)
		// The request in progress completes even if ctx ends, so that its outcome
		// is known.
		callCtx := context.WithoutCancel(ctx)
		address := c.trial.cluster.address(callerProxyPorts, host)
		if kind == 2 { //nolint:mnd // a third of the requests
			c.requestBooking(callCtx, address, c.trial.cluster.address(callerProxyPorts, hostCount-1), id)
		} else {
			c.requestCompletion(callCtx, address, id, model, kind == 1)
		}
		time.Sleep(pause)
	}
}

// answer is the response to one attempt.
type answer struct {
	status     int
	body       string
	complete   bool
	retryAfter bool
}

// call makes one attempt, with an idempotency key unless key is empty.
func (c *caller) call(ctx context.Context, address, path, body, id, key string) answer {
	deadline := time.Now().Add(requestTimeout)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(responseGrace))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		c.trial.addViolation("%s: %v", id, err)
		return answer{}
	}
	req.GetBody = nil // prevents retries by net/http
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

// recordAnswer updates the outcome of a request and reports whether the answer
// is a success.
func (c *caller) recordAnswer(id string, a answer, atMostOnce bool) bool {
	t := c.trial
	var e struct {
		Error struct {
			Run string `json:"run"`
		} `json:"error"`
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	outcome := t.requests[id]
	if outcome == nil {
		outcome = &requestOutcome{atMostOnce: atMostOnce, notRun: true}
		t.requests[id] = outcome
	}
	switch {
	case !a.complete:
		t.report.Broken++
		outcome.notRun = false
		return false
	case a.status == http.StatusOK:
		t.report.Answered++
		outcome.ran, outcome.notRun = true, false
		return true
	}
	if err := json.Unmarshal([]byte(a.body), &e); err != nil || e.Error.Run == "" {
		// The response comes from a component that does not track requests, so
		// it does not state whether the request ran.
		t.violations = append(t.violations, fmt.Sprintf("%s: status %d does not say whether the request ran: %.200s", id, a.status, a.body))
		return false
	}
	switch e.Error.Run {
	case "notRun":
		t.report.Refused++
	default:
		t.report.Unknown++
		outcome.notRun = false
	}
	return false
}

// requestCompletion sends a completion request and checks that the response is
// complete and belongs to the prompt. It reports whether both hold.
func (c *caller) requestCompletion(ctx context.Context, address, id, model string, stream bool) bool {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"stream":%t}`, model, id, stream)
	a := c.call(ctx, address, "/v1/completions", body, id, "")
	if !c.recordAnswer(id, a, false) {
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
		var completion struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(a.body), &completion); err != nil || len(completion.Choices) != 1 {
			c.trial.addViolation("%s: not a completion: %.200s", id, a.body)
			return false
		}
		text = completion.Choices[0].Text
	}
	if want := strings.Join(fake.Tokens(model, id, completionTokens), ""); text != want || !done {
		c.trial.addViolation("%s: the response belongs to another request or is incomplete (end %t): %q, want %q", id, done, text, want)
		return false
	}
	return true
}

// streamText joins the texts of an event stream and reports whether the stream
// ends with the terminal marker.
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

// requestBooking sends a request that may run at most once. If no complete
// response arrives or Retry-After is set, it retries at another host with the
// same idempotency key.
func (c *caller) requestBooking(ctx context.Context, address, otherAddress, id string) {
	key, err := uuid.NewV7()
	if err != nil {
		c.trial.addViolation("%s: %v", id, err)
		return
	}
	for _, host := range []string{address, otherAddress, address} {
		a := c.call(ctx, host, "/services/app/book", "for "+id, id, key.String())
		if c.recordAnswer(id, a, true) {
			if a.body != "for "+id {
				c.trial.addViolation("%s: the response belongs to another request: %.200s", id, a.body)
			}
			return
		}
		if a.complete && !a.retryAfter {
			return
		}
	}
}
