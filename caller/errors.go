package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Run says whether a request that was answered with an error has run.
type Run string

// The values of field run in an error.
const (
	NotRun     Run = "notRun"
	Ran        Run = "ran"
	RunUnknown Run = "unknown"
)

// Types of errors as in OpenAI's API.
const (
	typeInvalid     = "invalid_request_error"
	typeUnavailable = "service_unavailable"
	typeUpstream    = "upstream_error"
)

// failure is a final answer that is an error.
type failure struct {
	status  int
	message string
	kind    string
	param   string // field or header that is wrong
	code    string
	run     Run
	retryAt time.Time // zero: retrying does not help or is not safe
	address string    // of the entry host that may have the response
	allow   string
	// settled says that notRun holds for every attempt with the same key and
	// body, also for those that other hosts had.
	settled bool
	// gone says that the caller has gone away; the failure is only logged.
	gone bool
}

// errorBody is OpenAI's error object and field run.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	Run     Run     `json:"run"`
	Address string  `json:"address,omitempty"`
}

func (f *failure) body() []byte {
	d := errorDetail{Message: f.message, Type: f.kind, Code: f.code, Run: f.run, Address: f.address}
	if f.param != "" {
		d.Param = &f.param
	}
	data, err := json.Marshal(errorBody{Error: d})
	if err != nil {
		panic(err) // strings only
	}
	return data
}

func (f *failure) write(w http.ResponseWriter, now time.Time) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if !f.retryAt.IsZero() {
		h.Set("Retry-After", strconv.FormatInt(retryAfter(f.retryAt, now), 10))
	}
	if f.allow != "" {
		h.Set("Allow", f.allow)
	}
	data := append(f.body(), '\n')
	h.Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(f.status)
	_, _ = w.Write(data)
}

// retryAfter is the time to a retry in whole seconds, at least 1.
func retryAfter(at, now time.Time) int64 {
	return max(1, int64((at.Sub(now)+time.Second-1)/time.Second))
}

// invalid names a field or header, its value and what is allowed.
func invalid(param, value, allowed string) *failure {
	const maxShown = 100
	if len(value) > maxShown {
		value = value[:maxShown] + "..."
	}
	return &failure{
		status: http.StatusBadRequest, kind: typeInvalid, param: param, code: "invalidValue", run: NotRun,
		message: fmt.Sprintf("%s: value %q is not allowed; allowed: %s", param, value, allowed),
	}
}

func unavailable(code, message string, retryAt time.Time) *failure {
	return &failure{
		status: http.StatusServiceUnavailable, kind: typeUnavailable, code: code, run: NotRun,
		message: message, retryAt: retryAt,
	}
}

func deadlinePassed(run Run) *failure {
	message := "the deadline passed before the request was sent to an endpoint"
	if run != NotRun {
		message = "the deadline passed before the response was complete"
	}
	return &failure{
		status: http.StatusGatewayTimeout, kind: typeUpstream, code: "deadlineExceeded", run: run, message: message,
	}
}

func upstream(code, message string, run Run) *failure {
	return &failure{status: http.StatusBadGateway, kind: typeUpstream, code: code, run: run, message: message}
}
