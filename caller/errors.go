package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// RunStatus says whether a request that was answered with an error has run.
type RunStatus string

// Values of the field run of an error response.
const (
	NotRun     RunStatus = "notRun"
	Ran        RunStatus = "ran"
	RunUnknown RunStatus = "unknown"
)

// Error types of OpenAI's API.
const (
	typeInvalid     = "invalid_request_error"
	typeUnavailable = "service_unavailable"
	typeUpstream    = "upstream_error"
)

// failure is an error response to the caller.
type failure struct {
	status    int
	message   string
	errorType string
	param     string // invalid field or header
	code      string
	run       RunStatus
	retryAt   time.Time // zero if a retry does not help or is not safe
	address   string    // of the entry host that may have stored the response
	allow     string
	// finalForKey says that notRun holds for all attempts with the same key and
	// body, including those on other hosts.
	finalForKey bool
	// callerGone says that the caller has disconnected. The failure is then only
	// logged.
	callerGone bool
}

// errorBody is the body of an error response: OpenAI's error object with the
// additional fields run and address.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string    `json:"message"`
	Type    string    `json:"type"`
	Param   *string   `json:"param"`
	Code    string    `json:"code"`
	Run     RunStatus `json:"run"`
	Address string    `json:"address,omitempty"`
}

func (f *failure) body() []byte {
	d := errorDetail{Message: f.message, Type: f.errorType, Code: f.code, Run: f.run, Address: f.address}
	if f.param != "" {
		d.Param = &f.param
	}
	data, err := json.Marshal(errorBody{Error: d})
	if err != nil {
		panic(err) // unreachable: all fields are strings
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

// retryAfter returns the time until at in whole seconds, rounded up, and at
// least 1.
func retryAfter(at, now time.Time) int64 {
	return max(1, int64((at.Sub(now)+time.Second-1)/time.Second))
}

// invalid returns the failure of a request with an invalid field or header. The
// message names the field, its value and the allowed values.
func invalid(param, value, allowed string) *failure {
	const maxShown = 100
	if len(value) > maxShown {
		value = value[:maxShown] + "..."
	}
	return &failure{
		status: http.StatusBadRequest, errorType: typeInvalid, param: param, code: "invalidValue", run: NotRun,
		message: fmt.Sprintf("%s: value %q is not allowed; allowed: %s", param, value, allowed),
	}
}

func unavailable(code, message string, retryAt time.Time) *failure {
	return &failure{
		status: http.StatusServiceUnavailable, errorType: typeUnavailable, code: code, run: NotRun,
		message: message, retryAt: retryAt,
	}
}

// overloaded returns the failure of a request that this host has no memory for.
func overloaded(now time.Time) *failure {
	return unavailable("overloaded", "this entry host has no memory left for the request", now.Add(time.Second))
}

func deadlinePassed(run RunStatus) *failure {
	message := "the deadline passed before the request was sent to an endpoint"
	if run != NotRun {
		message = "the deadline passed before the response was complete"
	}
	return &failure{
		status: http.StatusGatewayTimeout, errorType: typeUpstream, code: "deadlineExceeded", run: run, message: message,
	}
}

func upstreamFailure(code, message string, run RunStatus) *failure {
	return &failure{status: http.StatusBadGateway, errorType: typeUpstream, code: code, run: run, message: message}
}
