package hosted

import (
	"fmt"
	"strings"
	"testing"
)

const (
	crashingBody = "crash"
	// After a request has crashed countedRequestCrashes endpoints, at most maxLateArrivals
	// attempts of it reach endpoints from adaptTime on.
	countedRequestCrashes = 3
	// Each pollEvery-th sound lookup is the same request.
	pollEvery = 4
)

func hasCrashingBody(r servingRequest) bool { return strings.HasPrefix(r.body, crashingBody) }

// soundLookup returns lookups of which some come again and again.
func soundLookup(host string, n int) servingRequest {
	if n%pollEvery == 0 {
		return servingRequest{path: plainPrefix + "poll"}
	}
	return servingRequest{path: fmt.Sprintf("%s%s-%d", plainPrefix, host, n), body: "sound"}
}

// crashingRequests returns loads in which whole requests crash endpoints and come again at
// each host.
func crashingRequests() map[string]crashLoad {
	stream := crashLoad{
		crashes: hasCrashingBody, sound: soundPrompt, counted: countedRequestCrashes,
		crashing: func(_ string, n int) servingRequest { return promptOf(crashingBody, n) },
	}
	begun := stream
	begun.crashEvents = answerEvents - 1
	return map[string]crashLoad{
		"lookup": {
			plain: true, crashes: hasCrashingBody, sound: soundLookup, counted: countedRequestCrashes,
			crashing: func(string, int) servingRequest { return servingRequest{path: plainPrefix + "bad", body: crashingBody} },
		},
		"two lookups": {
			plain: true, crashes: hasCrashingBody, sound: soundLookup, counted: countedRequestCrashes,
			crashing: func(_ string, n int) servingRequest {
				return servingRequest{path: plainPrefix + "bad", body: fmt.Sprint(crashingBody, n%2)}
			},
		},
		"stream":             stream,
		"stream with events": begun,
	}
}

// TestRequestThatCrashesEndpoints guards against a request that comes again and crashes
// one endpoint after the other, and against rejecting sound requests beside it, also while
// hosts are killed, cut off, suspended and replaced.
func TestRequestThatCrashesEndpoints(t *testing.T) {
	for kind, load := range crashingRequests() {
		t.Run(kind, func(t *testing.T) { playCrashCases(t, load) })
	}
}

// TestRequestThatCrashesEndpointsFaults guards against the same in random series of faults.
func TestRequestThatCrashesEndpointsFaults(t *testing.T) {
	for kind, load := range crashingRequests() {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			playCrashSeries(t, load)
		})
	}
}
