package endpoint

import (
	"time"

	"tamarackknot.example/tamarackknot"
)

// The peer methods that carry reports.
const (
	subscribeMethod = "subscribeReports"
	reportsMethod   = "reports"
)

// subscription asks a poller for the reports of endpoints. It replaces the
// previous one of the same host, or extends its deadline if the ID is the same.
// Without endpoints it ends the subscription.
type subscription struct {
	ID uint64 `json:"id"`
	// IntervalMillis is the interval between two batches.
	IntervalMillis int64 `json:"intervalMillis"`
	// Until is when the subscription expires.
	Until time.Time `json:"until"`
	// Batches refer to endpoints by their index in Endpoints. For the first Full
	// of them items include the lists of targets; the others are summaries.
	Endpoints []string `json:"endpoints,omitempty"`
	Full      int      `json:"full,omitempty"`
}

// batch is the delta since the last batch of a subscription. Endpoints in
// neither list were polled and their reports are unchanged.
type batch struct {
	ID uint64 `json:"id"`
	// Seq counts the batches of a subscription from 1.
	Seq     uint64 `json:"seq"`
	Changed []item `json:"c,omitempty"`
	// Missing holds the indexes of endpoints without a recent report, or beyond
	// the size limit.
	Missing []int `json:"m,omitempty"`
}

// item is the delta of one report. Its JSON names are short because a batch has
// an item for each busy endpoint.
type item struct {
	Index   int  `json:"i"`
	Running int  `json:"r,omitempty"`
	Waiting int  `json:"w,omitempty"`
	Leaving bool `json:"l,omitempty"`
	// The fields below are set only for endpoints followed in full. Time is in
	// nanoseconds since 1970; a nil list has not changed.
	Time   int64                        `json:"t,omitempty"`
	Name   string                       `json:"e,omitempty"` // Report.Endpoint, if it changed
	Loaded *[]tamarackknot.LoadedTarget `json:"loaded,omitempty"`
	Cached *[]tamarackknot.CachedTarget `json:"cached,omitempty"`
}

// encodedSize estimates the encoded size in bytes.
func (i *item) encodedSize() int {
	const fixedSize, targetSize = 40, 70
	n := fixedSize
	if i.Loaded != nil {
		n += targetSize * len(*i.Loaded)
	}
	if i.Cached != nil {
		n += targetSize * len(*i.Cached)
	}
	return n
}
