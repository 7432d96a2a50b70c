package ingress

import "github.com/rcrowley/go-metrics"

// counters holds the numbers of requests by outcome and histograms of latencies
// in ms.
type counters struct {
	answered, refused, failed, callerLeft, repeated, retryDenied, forwarded metrics.Counter
	firstByte, waited                                                       metrics.Histogram
}

// sampleSize and sampleAlpha are the usual parameters of an exponentially
// decaying sample that favors the last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

func newCounters(r metrics.Registry) counters {
	if r == nil {
		r = metrics.NewRegistry()
	}
	histogram := func(name string) metrics.Histogram {
		return metrics.NewRegisteredHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	return counters{
		answered:    metrics.NewRegisteredCounter("requests.answered", r),
		refused:     metrics.NewRegisteredCounter("requests.refused", r),
		failed:      metrics.NewRegisteredCounter("requests.failed", r),
		callerLeft:  metrics.NewRegisteredCounter("requests.callerLeft", r),
		repeated:    metrics.NewRegisteredCounter("requests.repeated", r),
		retryDenied: metrics.NewRegisteredCounter("requests.retryDenied", r),
		forwarded:   metrics.NewRegisteredCounter("requests.forwarded", r),
		firstByte:   histogram("requests.firstByteMs"),
		waited:      histogram("requests.waitedMs"),
	}
}
