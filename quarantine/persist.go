package quarantine

import (
	"context"
	"encoding/json"
	"time"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	// readInterval is the pause between two attempts to read the stored records.
	readInterval = time.Second
	// writeDelay is the time from the first suspicion of a cause to its record, in which
	// the records of further crashes arrive.
	writeDelay = 300 * time.Millisecond
	// checkInterval is the time between two checks whether the stored records are those
	// of the present suspects. A host that acts for one that was lost finds it out so.
	checkInterval = 5 * time.Second
)

// storedSuspicion is the record of a suspicion in the store: the crashes under its causes,
// with ages as of WrittenMs.
type storedSuspicion struct {
	WrittenMs int64         `json:"writtenMs"` // Unix time in ms
	Losses    []lossMessage `json:"losses"`
}

// RunStore keeps the records of suspicions in the store until ctx ends, so that they
// survive the loss of all hosts at once.
func (l *List) RunStore(ctx context.Context) {
	for !l.load(ctx) {
		if !wait.For(ctx, readInterval) {
			return
		}
	}
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	stored := make(map[causeID]int) // crashes in the record, by the first cause
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wakeStore:
			if !wait.For(ctx, writeDelay) {
				return
			}
		case <-tick.C:
		}
		l.save(ctx, stored)
	}
}

// load merges the stored records and deletes those that are too old. It reports whether
// they could be read.
func (l *List) load(ctx context.Context) bool {
	page, err := l.cfg.Store.Newest(ctx, tamarackknot.StreamCrashes)
	if err != nil {
		l.cfg.Logger.Warn("cannot read the records of crashes", "error", err)
		return false
	}
	now := time.Now()
	for _, rec := range page.Records {
		if len(rec.Value) == 0 {
			continue
		}
		var s storedSuspicion
		if err := json.Unmarshal(rec.Value, &s); err != nil {
			l.cfg.Logger.Warn("invalid record of crashes", "cause", rec.Key, "error", err)
			continue
		}
		age := max(now.Sub(time.UnixMilli(s.WrittenMs)), 0)
		if age > lossRetention {
			l.put(ctx, rec.Key, nil)
			continue
		}
		for i := range s.Losses {
			s.Losses[i].AgeMs += age.Milliseconds()
			if s.Losses[i].AliveMsAgo >= 0 {
				s.Losses[i].AliveMsAgo += age.Milliseconds()
			}
		}
		l.merge(spreadMessage{Losses: s.Losses}, "")
	}
	return true
}

// save writes the suspicions for which this host is responsible and that changed, and
// deletes those that ended.
func (l *List) save(ctx context.Context, stored map[causeID]int) {
	now := time.Now()
	changed, ended := l.unsaved(stored)
	for p, losses := range changed {
		value, err := json.Marshal(storedSuspicion{WrittenMs: now.UnixMilli(), Losses: losses})
		if err != nil {
			l.cfg.Logger.Error("cannot encode a record of crashes", "cause", p, "error", err)
			continue
		}
		if l.put(ctx, p.String(), value) {
			stored[p] = len(losses)
		}
	}
	for _, p := range ended {
		if l.put(ctx, p.String(), nil) {
			delete(stored, p)
		}
	}
}

// unsaved returns the crashes of the suspicions to be written, by the first cause, and
// the causes of stored ones that ended.
func (l *List) unsaved(stored map[causeID]int) (changed map[causeID][]lossMessage, ended []causeID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed, now := make(map[causeID][]lossMessage), l.cfg.Clock()
	current := make(map[causeID]bool)
	for _, s := range l.suspects {
		p := s.causes[0]
		current[p] = true
		if stored[p] == s.crashes || !l.responsible(p) {
			continue
		}
		causes := set(s.causes)
		for _, lost := range l.losses {
			if lost.crashed() && lost.causes[p] {
				changed[p] = append(changed[p], encodeLoss(lost, causes, now))
			}
		}
	}
	for p := range stored {
		if !current[p] {
			ended = append(ended, p)
		}
	}
	return changed, ended
}

// put writes a record, and reports whether the store accepted it.
func (l *List) put(ctx context.Context, key string, value []byte) bool {
	if _, err := l.cfg.Store.Put(ctx, tamarackknot.StreamCrashes, key, value); err != nil {
		l.cfg.Logger.Warn("cannot write a record of crashes", "cause", key, "error", err)
		return false
	}
	return true
}
