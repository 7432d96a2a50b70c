package journal

import "github.com/rcrowley/go-metrics"

// histogramSize is the number of values in the histogram's reservoir.
const histogramSize = 1028

// journalMetrics holds the journal's metrics. It uses no meters and timers of
// the library, because these start a goroutine that never ends.
type journalMetrics struct {
	applied      metrics.Gauge
	records      metrics.Counter
	rejected     metrics.Counter
	appends      metrics.Counter
	appendErrors metrics.Counter
	readErrors   metrics.Counter
	restores     metrics.Counter
	snapshots    metrics.Counter
	peerRecords  metrics.Counter
	propose      metrics.Histogram // milliseconds from proposal to read-back
}

func newJournalMetrics(r metrics.Registry) journalMetrics {
	return journalMetrics{
		applied:      metrics.GetOrRegisterGauge("journal.applied", r),
		records:      metrics.GetOrRegisterCounter("journal.records", r),
		rejected:     metrics.GetOrRegisterCounter("journal.rejected", r),
		appends:      metrics.GetOrRegisterCounter("journal.appends", r),
		appendErrors: metrics.GetOrRegisterCounter("journal.appendErrors", r),
		readErrors:   metrics.GetOrRegisterCounter("journal.readErrors", r),
		restores:     metrics.GetOrRegisterCounter("journal.restores", r),
		snapshots:    metrics.GetOrRegisterCounter("journal.snapshots", r),
		peerRecords:  metrics.GetOrRegisterCounter("journal.peerRecords", r),
		propose:      metrics.GetOrRegisterHistogram("journal.proposeMs", r, metrics.NewUniformSample(histogramSize)),
	}
}
