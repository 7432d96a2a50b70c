package ingress

import (
	"time"

	"tamarackknot.example/tamarackknot/dispatch"
)

// pauseDetails says what the time between two events consists of: the write of the first one to
// the caller and the wait for the second one from the endpoint, and what ran there at its end.
type pauseDetails struct {
	write, read time.Duration
	load        dispatch.EndpointLoad
}

// recordGap records the gap that ends with the write of an event at the time now.
func (x *exchange) recordGap(now time.Time) {
	gap := now.Sub(x.lastEventAt)
	if gap <= x.longestGap {
		return
	}
	x.longestGap = gap
	x.pause = pauseDetails{write: x.writtenAt.Sub(x.lastEventAt), read: now.Sub(x.writtenAt), load: x.load}
}

// paceFields returns the fields of the log that tell the causes of the longest gap of a stream
// apart, and what was predicted for it.
func (x *exchange) paceFields() []any {
	fields := []any{
		"gapReadMs", x.pause.read.Milliseconds(), "gapWriteMs", x.pause.write.Milliseconds(),
		"gapOwn", x.pause.load.Own, "gapOthers", x.pause.load.Others, "gapPromptTokens", int64(x.pause.load.PromptTokens),
	}
	if f := x.forecast; f != (dispatch.Forecast{}) {
		fields = append(fields, "expectedFirstMs", int64(f.First*1000), "causedGapMs", int64(f.Gap*1000), "pausePercent", int64(f.Pause*100),
			"memoryPercent", int64(f.Memory*100), "slownessPercent", int64(f.Slowness*100), "stalled", f.Stalled,
			"own", f.Own, "others", f.Others, "viewAgeMs", f.ViewAge.Milliseconds(), "observedAgeMs", f.ObservedAge.Milliseconds())
	}
	return fields
}
