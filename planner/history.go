package planner

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"tamarackknot.example/tamarackknot"
)

const (
	// saveInterval is the pause between two writes of the demand history to the
	// store. The history survives the loss of all hosts; each write costs one
	// store call per service.
	saveInterval = 6 * time.Second
	// maxSavedModels limits the models in a record, busiest first.
	maxSavedModels = 400
)

// historyRecord is the demand history of a service, as stored.
type historyRecord struct {
	Models []historyModel `json:"models"`
}

// historyModel is the demand history of one model.
type historyModel struct {
	Model string  `json:"model"`
	Total int64   `json:"total"`
	Tight int64   `json:"tight"`
	Rate  float64 `json:"rate"`
	Load  float64 `json:"load"`
}

// readHistory reads the demand history that an earlier planner stored, for a later step.
// Planning goes on meanwhile, since the store may be slow where many hosts start together.
func (c *Controller) readHistory(ctx context.Context, read chan<- []tamarackknot.KeyedRecord) {
	page, err := c.cfg.Store.Newest(ctx, tamarackknot.StreamHistory)
	if err != nil {
		c.cfg.Logger.Warn("cannot read the demand history, planning goes on without it", "error", err)
		return
	}
	read <- page.Records
}

// restoreHistory applies a history that has been read. c.mu is held.
func (c *Controller) restoreHistory() {
	var records []tamarackknot.KeyedRecord
	select {
	case records = <-c.history:
	default:
	}
	for _, rec := range records {
		var h historyRecord
		if err := json.Unmarshal(rec.Value, &h); err != nil {
			c.cfg.Logger.Warn("invalid demand history", "service", rec.Key, "error", err)
			continue
		}
		for _, m := range h.Models {
			c.demandFor(modelKey{rec.Key, m.Model}).restore(m)
		}
		c.cfg.Logger.Info("demand history read", "service", rec.Key, "models", len(h.Models))
	}
}

// restore adds the stored history to the demand that was measured meanwhile.
func (d *modelDemand) restore(m historyModel) {
	d.persisted = ModelState{Total: m.Total, TightTotal: m.Tight}
	// The stored requests are not new ones.
	d.lastTotal += m.Total
	d.state.Rate, d.state.Load = max(d.state.Rate, m.Rate), max(d.state.Load, m.Load)
}

// saveHistory writes the demand history of each service to the store.
func (c *Controller) saveHistory(ctx context.Context) {
	for service, rec := range c.historyRecords() {
		value, err := json.Marshal(rec)
		if err != nil {
			c.cfg.Logger.Error("cannot encode the demand history", "service", service, "error", err)
			continue
		}
		if _, err := c.cfg.Store.Put(ctx, tamarackknot.StreamHistory, service, value); err != nil {
			c.cfg.Logger.Warn("cannot write the demand history", "service", service, "error", err)
		}
	}
}

// historyRecords returns the records to store, by service.
func (c *Controller) historyRecords() map[string]historyRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]historyRecord)
	for key, demand := range c.models {
		if demand.state.Total == 0 {
			continue
		}
		rec := out[key.service]
		rec.Models = append(rec.Models, historyModel{
			Model: key.model, Total: demand.state.Total, Tight: demand.state.TightTotal, Rate: roundToHundredths(demand.state.Rate), Load: roundToHundredths(demand.state.Load),
		})
		out[key.service] = rec
	}
	for service, rec := range out {
		slices.SortFunc(rec.Models, func(a, b historyModel) int {
			return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(b.Total, a.Total), cmp.Compare(a.Model, b.Model))
		})
		rec.Models = rec.Models[:min(len(rec.Models), maxSavedModels)]
		out[service] = rec
	}
	return out
}

// roundToHundredths rounds to two decimals, to keep the stored records small.
func roundToHundredths(v float64) float64 { return float64(int(v*100+0.5)) / 100 }
