// Package locality decides when a request is worth sending to another failure domain, and
// how much of a domain's traffic is. Its decisions perform no input or output.
package locality

import (
	"math"
	"time"

	"tamarackknot.example/tamarackknot"
)

const (
	bytesPerGB = 1e9
	// headerBytes are the headers of a request and its answer, and the packets that open
	// and close a connection.
	headerBytes = 1200
	// bytesPerToken is what an output token takes in the stream of events.
	bytesPerToken = 12
	// plainAnswerBytes is the size of an answer of which the request names no tokens. The
	// answers of today's deployments have 43 events of 50 bytes with their framing.
	plainAnswerBytes = 43 * 56
	// typicalBytes are those of a request of today's deployments with its answer.
	typicalBytes = 1500 + headerBytes + plainAnswerBytes
	// crossingSeconds is the delay of a request by the time between domains, 0.9 to 1.4 ms
	// one way: the connection, the request and its first event take two round trips.
	crossingSeconds = 0.005
	// readingSeconds is the time that an engine takes to read a prompt of 1,500 tokens at 20
	// tokens a ms. Prompts that arrive together wait for each other.
	readingSeconds = 0.075
	// lateSeconds is the delay that counts as much as a missed objective; the placement of
	// models weighs it the same.
	lateSeconds = 3.0
	// maxUse limits the use for which a delay is predicted: it has no bound near 1.
	maxUse = 0.95
	// typicalSlack is the time that is left to a request whose objective is not known.
	typicalSlack = 500 * time.Millisecond
)

// Price is the delay of one request, in seconds, that is worth as much as a gigabyte between
// failure domains. With 0 a gigabyte costs nothing, and this package changes nothing.
type Price float64

// Of returns the price of a number of bytes, in seconds of delay of one request.
func (p Price) Of(bytes float64) float64 { return float64(p) * bytes / bytesPerGB }

// Crossing returns the price of a request with its answer and of the time between domains, in
// seconds of delay.
func (p Price) Crossing(bytes float64) float64 { return p.Of(bytes) + crossingSeconds }

// TypicalBytes returns the bytes of a request whose size is not known, with its answer.
func TypicalBytes() float64 { return typicalBytes }

// RequestBytes returns the bytes that a request and its answer are expected to take.
func RequestBytes(body int, tokens tamarackknot.RequestTokens) float64 {
	answer := float64(plainAnswerBytes)
	if tokens.Known && !tokens.Malformed && tokens.Output > 0 {
		answer = tokens.Output * bytesPerToken
	}
	return float64(body) + headerBytes + answer
}

// delay returns what a request at an endpoint is expected to lose, in seconds of delay, if a
// fraction of the endpoint's slots is in use and slack is left until its objective: the wait
// for other prompts, and the chance to miss the objective because of it.
func delay(use, slack float64) float64 {
	use = min(max(use, 0), maxUse)
	wait := readingSeconds / 2 * use / (1 - use)
	late := use * math.Exp(-max(slack, 0)*(1-use)/readingSeconds)
	return wait + lateSeconds*late
}
