package endpoint

import (
	"time"

	"tamarackknot.example/tamarackknot"
)

// The methods of tamarackknot.Peers that carry reports.
const (
	subscribeMethod = "subscribeReports"
	reportsMethod   = "reports"
)

// subscription asks a poller for the reports of endpoints. It replaces the
// previous one of the same host. With the ID of the previous one it only moves
// the deadline.
type subscription struct {
	ID uint64 `json:"id"`
	// Interval between two batches.
	IntervalMillis int64 `json:"intervalMillis"`
	// Until is the deadline after which the subscription is void.
	Until time.Time `json:"until"`
	// Endpoints are named in batches by their index here. The first Full of
	// them are wanted with the lists of targets, the others as summaries.
	Endpoints []string `json:"endpoints,omitempty"`
	Full      int      `json:"full,omitempty"`
}

// batch is what has changed since the last batch of a subscription. Endpoints
// in neither list were polled and report the same as before.
type batch struct {
	ID uint64 `json:"id"`
	// Seq counts the batches of a subscription from 1.
	Seq     uint64 `json:"seq"`
	Changed []item `json:"c,omitempty"`
	// Missing are the indexes of endpoints without a new report.
	Missing []int `json:"m,omitempty"`
}

// item is a report without what the subscriber has. Its names are short
// because a batch has one for each busy endpoint.
type item struct {
	Index   int  `json:"i"`
	Running int  `json:"r,omitempty"`
	Waiting int  `json:"w,omitempty"`
	Leaving bool `json:"l,omitempty"`
	// The fields below are set only for endpoints wanted in full. Time is in
	// nanoseconds since 1970; a list that is nil has not changed.
	Time   int64                        `json:"t,omitempty"`
	Name   string                       `json:"e,omitempty"` // the report's own, if it differs
	Loaded *[]tamarackknot.LoadedTarget `json:"loaded,omitempty"`
	Cached *[]tamarackknot.CachedTarget `json:"cached,omitempty"`
}

// bytes is an estimate of the encoded size.
func (i *item) bytes() int {
	const fixed, perTarget = 40, 70
	n := fixed
	if i.Loaded != nil {
		n += perTarget * len(*i.Loaded)
	}
	if i.Cached != nil {
		n += perTarget * len(*i.Cached)
	}
	return n
}
