package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
)

// Headers of requests and responses.
const (
	// RequestIDHeader is the request ID under which a run is recorded in the
	// history.
	RequestIDHeader = "X-Request-Id"
	// RunHeader is "notRun" in the response to a request that was rejected
	// before it started.
	RunHeader = "Run"
	// LeavingHeader is "true" in the responses of a leaving endpoint.
	LeavingHeader = "Leaving"
	// PriorityHeader is the priority in the engine's queue, 0 to 9; higher
	// priorities run first.
	PriorityHeader = "Request-Priority"
)

const (
	notRun           = "notRun"
	defaultPriority  = 5
	defaultMaxTokens = 16
	maxMaxTokens     = 100_000
	maxBodyBytes     = 64 << 20
)

// Tokens returns the n tokens that an engine generates for a prompt. They depend
// only on the target, the prompt and their position, so that a test can match
// responses to requests and detect partial responses. The prompt of a chat
// request is one line "role: content" per message.
func Tokens(target, prompt string, n int) []string {
	h := xxhash.New()
	_, _ = h.WriteString(target)
	_, _ = h.WriteString("\n")
	_, _ = h.WriteString(prompt)
	seed := h.Sum64()
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = fmt.Sprintf("%04x-%d ", uint16(seed>>(i%4*16)), i)
	}
	return tokens
}

type completionRequest struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionResponse struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *completionUsage   `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatDelta   `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type completionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type errorResponse struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Run     string `json:"run,omitempty"`
}

type orderResponse struct {
	Outcome tamarackknot.OrderOutcome `json:"outcome"`
	RetryAt *time.Time                `json:"retryAt,omitempty"`
	Message string                    `json:"message,omitempty"`
}

// ServeHTTP serves the engine's API.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := e.bind(r.Context())
	defer cancel()
	e.mu.Lock()
	leaving := e.leaving
	e.mu.Unlock()
	if leaving {
		w.Header().Set(LeavingHeader, "true")
	}
	e.mux.ServeHTTP(w, e.receive(ctx, r))
}

func (e *Engine) serveReport(w http.ResponseWriter, r *http.Request) {
	report, err := e.Report(r.Context())
	if err != nil {
		abort()
	}
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o tamarackknot.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeJSON(w, http.StatusBadRequest, orderResponse{Outcome: tamarackknot.OrderRefused, Message: "body is not an order: " + err.Error()})
		return
	}
	result, err := e.execute(r.Context(), o)
	if err != nil {
		abort()
	}
	out := orderResponse{Outcome: result.Outcome, Message: result.Message}
	if !result.RetryAt.IsZero() {
		out.RetryAt = &result.RetryAt
	}
	writeJSON(w, http.StatusOK, out)
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	ctx := r.Context()
	if f, _ := e.get(); f.Refuse {
		writeNotRun(w, http.StatusServiceUnavailable, "refused", "endpoint refuses requests")
		return
	}
	var req completionRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeNotRun(w, http.StatusBadRequest, "invalid_body", "body is not a completion request: "+err.Error())
		return
	}
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultMaxTokens
	}
	if req.MaxTokens < 0 || req.MaxTokens > maxMaxTokens {
		writeNotRun(w, http.StatusBadRequest, "invalid_max_tokens",
			fmt.Sprintf("max_tokens is %d: allowed is 1 to %d", req.MaxTokens, maxMaxTokens))
		return
	}
	priority, err := strconv.Atoi(r.Header.Get(PriorityHeader))
	if err != nil {
		priority = defaultPriority
	}
	replica, err := e.acquire(ctx, req.Model, priority)
	switch {
	case errors.Is(err, errNotLoaded):
		writeNotRun(w, http.StatusNotFound, "model_not_found", fmt.Sprintf("model %q is not loaded", req.Model))
		return
	case errors.Is(err, errQueueFull):
		writeNotRun(w, http.StatusServiceUnavailable, "overloaded", errQueueFull.Error())
		return
	case err != nil:
		abort()
	}
	defer e.release(replica)
	id := r.Header.Get(RequestIDHeader)
	e.history.recordRun(Run{ID: id, Endpoint: e.cfg.Name, Method: r.Method, Path: r.URL.Path})
	c := newCompletion(&req, id, strings.Contains(r.URL.Path, "/chat/"))
	if req.Stream {
		err = e.stream(ctx, w, c)
	} else {
		err = e.respond(ctx, w, c)
	}
	if err != nil {
		if !errors.Is(err, errDied) {
			e.history.increment(&e.history.cancelled)
		}
		abort()
	}
}

// respond writes a response that is not streamed.
func (e *Engine) respond(ctx context.Context, w http.ResponseWriter, c *completion) error {
	d := e.cfg.FirstToken + time.Duration(len(c.tokens)-1)*e.cfg.PerToken
	if err := e.sleep(ctx, d); err != nil {
		return err
	}
	body, err := json.Marshal(c.full())
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	return e.writeBody(w, body)
}

// stream writes a response as server-sent events.
func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, c *completion) error {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	out := http.NewResponseController(w)
	wait := e.cfg.FirstToken
	for i := range c.tokens {
		if err := e.sleep(ctx, wait); err != nil {
			return err
		}
		wait = e.cfg.PerToken
		if f, _ := e.get(); i >= len(c.tokens)/2 && (f.Cut || f.Truncate) {
			if f.Cut {
				abort()
			}
			return nil
		}
		data, err := json.Marshal(c.chunk(i))
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
			return err
		}
		if err := out.Flush(); err != nil {
			return err
		}
	}
	_, err := io.WriteString(w, "data: [DONE]\n\n")
	return err
}

// writeBody writes a response of known length. With Cut it writes the first half
// and closes the connection.
func (s *faultInjector) writeBody(w http.ResponseWriter, body []byte) error {
	f, _ := s.get()
	if !f.Cut {
		_, err := w.Write(body)
		return err
	}
	if _, err := w.Write(body[:len(body)/2]); err != nil {
		return err
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		return err
	}
	abort()
	return nil
}

// completion generates the response to one completion request, complete or in
// chunks.
type completion struct {
	common completionResponse
	chat   bool
	prompt string
	tokens []string
}

func newCompletion(req *completionRequest, id string, chat bool) *completion {
	c := &completion{
		common: completionResponse{ID: "cmpl-" + id, Object: "text_completion", Created: time.Now().Unix(), Model: req.Model},
		chat:   chat,
		prompt: req.Prompt,
	}
	if chat {
		var b strings.Builder
		for _, m := range req.Messages {
			b.WriteString(m.Role + ": " + m.Content + "\n")
		}
		c.prompt = b.String()
		c.common.Object = "chat.completion"
	}
	c.tokens = Tokens(req.Model, c.prompt, req.MaxTokens)
	return c
}

func (c *completion) full() completionResponse {
	text, reason := strings.Join(c.tokens, ""), "length"
	choice := completionChoice{FinishReason: &reason}
	if c.chat {
		choice.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	out := c.common
	out.Choices = []completionChoice{choice}
	prompt := len(strings.Fields(c.prompt))
	out.Usage = &completionUsage{PromptTokens: prompt, CompletionTokens: len(c.tokens), TotalTokens: prompt + len(c.tokens)}
	return out
}

func (c *completion) chunk(i int) completionResponse {
	var choice completionChoice
	if i == len(c.tokens)-1 {
		reason := "length"
		choice.FinishReason = &reason
	}
	out := c.common
	if c.chat {
		out.Object = "chat.completion.chunk"
		choice.Delta = &chatDelta{Content: c.tokens[i]}
		if i == 0 {
			choice.Delta.Role = "assistant"
		}
	} else {
		choice.Text = &c.tokens[i]
	}
	out.Choices = []completionChoice{choice}
	return out
}

func writeNotRun(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set(RunHeader, notRun)
	writeJSON(w, status, errorResponse{Error: errorBody{Message: message, Type: "engine_error", Code: code, Run: notRun}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		// All types passed to writeJSON can be encoded.
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
