package commands

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// entryHostsResponse is the body of a response of /v1/entryhosts.
type entryHostsResponse struct {
	EntryHosts []entryHost `json:"entryHosts"`
}

type entryHost struct {
	Address       string    `json:"address"`
	FailureDomain string    `json:"failureDomain"`
	KeepUntil     time.Time `json:"keepUntil"`
}

// caller sends requests to entry hosts. It caches their addresses until the
// addresses expire.
type caller struct {
	client *http.Client
	seeds  []string
	domain string
	cached []entryHost
}

func newCaller(s settings) *caller {
	return &caller{
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		seeds:  strings.Split(s.entries, ","),
		domain: s.domain,
	}
}

// addresses returns the entry hosts to try, in order.
func (c *caller) addresses(ctx context.Context) ([]entryHost, error) {
	if len(c.cached) > 0 && time.Now().Before(c.cached[0].KeepUntil) {
		return c.cached, nil
	}
	var last error
	for _, seed := range c.seeds {
		hosts, err := c.fetchEntryHosts(ctx, seed)
		if err == nil {
			c.cached = hosts
			return hosts, nil
		}
		last = err
	}
	return nil, errors.Wrap(last, "no entry host answers")
}

func (c *caller) fetchEntryHosts(ctx context.Context, seed string) ([]entryHost, error) {
	u := "http://" + seed + "/v1/entryhosts?failureDomain=" + url.QueryEscape(c.domain)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var out entryHostsResponse
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK || len(out.EntryHosts) == 0 {
		return nil, fmt.Errorf("%s: %s, %d addresses", seed, resp.Status, len(out.EntryHosts))
	}
	return out.EntryHosts, nil
}

// answer is the result of a call.
type answer struct {
	address    string
	status     int
	run        string
	message    string
	retryAfter string
	text       string
	events     int
	complete   bool
	firstByte  time.Duration
	total      time.Duration
}

// post sends a body and reads the whole answer. A streamed answer is complete
// only if it ends with the terminal marker.
func (c *caller) post(ctx context.Context, address, path string, header http.Header, body []byte) (answer, error) {
	a := answer{address: address}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return a, err
	}
	req.Header = header
	start := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		return a, err
	}
	defer func() { _ = resp.Body.Close() }()
	a.status = resp.StatusCode
	a.retryAfter = resp.Header.Get("Retry-After")
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		err = a.readStream(resp.Body, start)
	} else {
		err = a.readBody(resp.Body, start)
	}
	a.total = time.Since(start)
	return a, err
}

func (a *answer) readStream(r io.Reader, start time.Time) error {
	sc := bufio.NewScanner(r)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if a.events == 0 {
			a.firstByte = time.Since(start)
		}
		if data == "[DONE]" {
			a.complete = true
			continue
		}
		a.events++
		a.text += eventText(data)
	}
	return sc.Err()
}

// eventText returns the text of one event of the chat or the completion route.
func eventText(data string) string {
	var e struct {
		Choices []struct {
			Text  string `json:"text"`
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &e) != nil || len(e.Choices) == 0 {
		return ""
	}
	return e.Choices[0].Text + e.Choices[0].Delta.Content
}

func (a *answer) readBody(r io.Reader, start time.Time) error {
	data, err := io.ReadAll(r)
	a.firstByte = time.Since(start)
	if err != nil {
		return err
	}
	a.complete = true
	var e struct {
		Error struct {
			Message string `json:"message"`
			Run     string `json:"run"`
		} `json:"error"`
	}
	if a.status >= http.StatusBadRequest && json.Unmarshal(data, &e) == nil {
		a.run, a.message = e.Error.Run, e.Error.Message
		return nil
	}
	a.text = string(data)
	return nil
}
