package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
)

// onceSettings are the settings of one call.
type onceSettings struct {
	model          string
	service        string
	body           string
	stream         bool
	maxTokens      int
	timeoutSeconds int
	priority       int
	key            string
	notRepeatable  bool
}

func (o *onceSettings) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("once")
	sub.Description = "makes one call and prints the answer"
	sub.String(&o.model, "m", "model", "model or adapter to call")
	sub.String(&o.service, "s", "service", "plain service to call instead: path after /services/")
	sub.String(&o.body, "b", "body", "prompt, or body for a plain service")
	sub.Bool(&o.stream, "", "stream", "ask for a stream")
	sub.Int(&o.maxTokens, "", "maxTokens", "length of the answer in tokens")
	sub.Int(&o.timeoutSeconds, "t", "timeout", "seconds until the deadline")
	sub.Int(&o.priority, "p", "priority", "0 to 9")
	sub.String(&o.key, "k", "key", "idempotency key; UUIDv7")
	sub.Bool(&o.notRepeatable, "", "notRepeatable", "mark the request as one that must run at most once")
	return sub
}

func (o *onceSettings) request() (path string, header http.Header, body []byte, err error) {
	header = http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set("Request-Deadline", time.Now().Add(time.Duration(o.timeoutSeconds)*time.Second).UTC().Format(time.RFC3339Nano))
	header.Set("Request-Priority", strconv.Itoa(o.priority))
	if o.notRepeatable {
		header.Set("Request-Repeatable", "false")
	}
	if o.key != "" {
		header.Set("Idempotency-Key", o.key)
	}
	if o.service != "" {
		return "/services/" + o.service, header, []byte(o.body), nil
	}
	if o.model == "" {
		return "", nil, nil, errors.Mark(errors.New("--model or --service is required"), errUsage)
	}
	body, err = json.Marshal(map[string]any{
		"model":      o.model,
		"stream":     o.stream,
		"max_tokens": o.maxTokens,
		"messages":   []map[string]string{{"role": "user", "content": o.body}},
	})
	return "/v1/chat/completions", header, body, err
}

// runOnce tries the addresses in order until one answers.
func runOnce(ctx context.Context, s settings, out io.Writer) error {
	path, header, body, err := s.once.request()
	if err != nil {
		return err
	}
	c := newCaller(s)
	hosts, err := c.addresses(ctx)
	if err != nil {
		return err
	}
	for _, h := range hosts {
		var a answer
		a, err = c.post(ctx, h.Address, path, header, body)
		if a.status == 0 {
			continue
		}
		if err != nil {
			return errors.Wrapf(err, "answer from %s is cut off after %d events", h.Address, a.events)
		}
		return a.print(out)
	}
	return errors.Wrap(err, "no entry host could be reached")
}

func (a *answer) print(out io.Writer) error {
	_, err := fmt.Fprintf(out, "via=%s status=%d complete=%t firstByte=%dms total=%dms events=%d",
		a.address, a.status, a.complete, a.firstByte.Milliseconds(), a.total.Milliseconds(), a.events)
	if err != nil {
		return err
	}
	if a.status >= http.StatusBadRequest {
		_, _ = fmt.Fprintf(out, " run=%s retryAfter=%q message=%q\n", a.run, a.retryAfter, a.message)
		return fmt.Errorf("refused with status %d", a.status)
	}
	_, err = fmt.Fprintf(out, " text=%q\n", shorten(a.text))
	if err == nil && !a.complete {
		err = errors.New("answer is not complete: its terminal marker is missing")
	}
	return err
}

func shorten(s string) string {
	const limit = 60
	if len(s) > limit {
		return s[:limit] + "..."
	}
	return s
}
