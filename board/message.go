package board

import (
	"encoding/json"
	"time"

	"tamarackknot.example/tamarackknot"
)

// The methods between hosts.
const (
	methodDemand = "board.demand"
	methodView   = "board.view"
)

// demandMessage goes from a host to the planner. Times are relative, because
// the clocks of hosts differ.
type demandMessage struct {
	Leaving bool                    `json:"leaving,omitempty"`
	All     bool                    `json:"all,omitempty"`
	Running []tamarackknot.RunCount `json:"running,omitempty"`
	Wants   []wantMessage           `json:"wants,omitempty"`
	// Catalog is the version of the configuration in force at the host.
	Catalog int64 `json:"catalog,omitempty"`
	// Behind says that the host has missed a message and needs a whole view.
	Behind bool `json:"behind,omitempty"`
}

type wantMessage struct {
	Service      string   `json:"service"`
	Model        string   `json:"model"`
	Waiting      int      `json:"waiting,omitempty"`
	Tight        int      `json:"tight,omitempty"`
	ObjectiveMs  int64    `json:"objectiveMs,omitempty"`
	DeadlineMs   int64    `json:"deadlineMs,omitempty"`
	Adapters     []string `json:"adapters,omitempty"`
	Total        int64    `json:"total,omitempty"`
	TightTotal   int64    `json:"tightTotal,omitempty"`
	LastUsedMsAt int64    `json:"usedMsAgo,omitempty"`
}

// viewMessage goes from the planner to a host.
type viewMessage struct {
	Fence int64 `json:"fence"`
	// Number counts the messages to the host.
	Number  int64 `json:"n,omitempty"`
	All     bool  `json:"all,omitempty"`
	Leaving bool  `json:"leaving,omitempty"`
	// Engines and Forecasts are those that changed since the last message, or
	// all; Settled names the models that have no forecast any more.
	Engines   []engineMessage   `json:"engines,omitempty"`
	Forecasts []forecastMessage `json:"forecasts,omitempty"`
	Settled   []modelMessage    `json:"settled,omitempty"`
	// Hosts are those that callers may be sent to, as a list of HostEntry; left
	// out if they are those of the last message.
	Hosts json.RawMessage `json:"hosts,omitempty"`
	// Lease is the end of the lease's stream, as the planner knows it.
	Lease int64 `json:"lease,omitempty"`
	// Planner is the entry of the planner, in whole views.
	Planner *tamarackknot.HostEntry `json:"planner,omitempty"`
	// Registered is the number of registered hosts, alive or not.
	Registered int `json:"registered,omitempty"`
	// Catalog and Endpoints are how far the planner follows these streams.
	Catalog   streamMessage `json:"catalog"`
	Endpoints streamMessage `json:"endpoints"`
}

type streamMessage struct {
	Version int64 `json:"v"`
	AgeMs   int64 `json:"ageMs"` // -1: never read
}

func encodeStream(s tamarackknot.StreamState, now time.Time) streamMessage {
	if s.ReadAt.IsZero() {
		return streamMessage{AgeMs: -1}
	}
	return streamMessage{Version: s.Version, AgeMs: now.Sub(s.ReadAt).Milliseconds()}
}

func decodeStream(m streamMessage, now time.Time) tamarackknot.StreamState {
	s := tamarackknot.StreamState{Version: m.Version}
	if m.AgeMs >= 0 {
		s.ReadAt = now.Add(-time.Duration(m.AgeMs) * time.Millisecond)
	}
	return s
}

type engineMessage struct {
	ID string `json:"id"`
	// Same says that the engine holds what the last message named.
	Same   bool          `json:"same,omitempty"`
	Held   []heldMessage `json:"held,omitempty"`
	Others int           `json:"others,omitempty"`
}

type heldMessage struct {
	Model    string   `json:"m"`
	Adapters []string `json:"a,omitempty"`
}

type forecastMessage struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	ReadyMs int64  `json:"readyMs"`
}

type modelMessage struct {
	Service string `json:"service"`
	Model   string `json:"model"`
}

func encodeDemand(d tamarackknot.HostDemand, all, behind bool, catalog int64, now time.Time) demandMessage {
	m := demandMessage{Leaving: d.Leaving, All: all, Running: d.Running, Catalog: catalog, Behind: behind}
	for _, w := range d.Wants {
		out := wantMessage{
			Service: w.Service, Model: w.Model, Waiting: w.Waiting, Tight: w.Tight, Adapters: w.Adapters,
			Total: w.Total, TightTotal: w.TightTotal, LastUsedMsAt: now.Sub(w.LastUsed).Milliseconds(),
		}
		if w.Waiting > 0 {
			out.ObjectiveMs = w.Objective.Sub(now).Milliseconds()
			out.DeadlineMs = w.Deadline.Sub(now).Milliseconds()
		}
		m.Wants = append(m.Wants, out)
	}
	return m
}

func decodeWant(m wantMessage, now time.Time) tamarackknot.ModelWant {
	return tamarackknot.ModelWant{
		Service: m.Service, Model: m.Model, Waiting: m.Waiting, Tight: m.Tight, Adapters: m.Adapters,
		Total: m.Total, TightTotal: m.TightTotal,
		Objective: now.Add(time.Duration(m.ObjectiveMs) * time.Millisecond),
		Deadline:  now.Add(time.Duration(m.DeadlineMs) * time.Millisecond),
		LastUsed:  now.Add(-time.Duration(m.LastUsedMsAt) * time.Millisecond),
	}
}

func decodeHeld(held []heldMessage) []tamarackknot.HeldModel {
	out := make([]tamarackknot.HeldModel, 0, len(held))
	for _, h := range held {
		out = append(out, tamarackknot.HeldModel{Name: h.Model, Adapters: h.Adapters})
	}
	return out
}
