package fleet

import (
	"encoding/json"
	"time"

	"tamarackknot.example/tamarackknot"
)

// Methods of the messages between hosts.
const (
	methodDemand = "board.demand"
	methodView   = "board.view"
)

// demandMessage is sent by a host to the planner. Times are relative because the
// clocks of hosts differ.
type demandMessage struct {
	Leaving  bool                    `json:"leaving,omitempty"`
	Isolated bool                    `json:"isolated,omitempty"`
	Full     bool                    `json:"all,omitempty"`
	Running  []tamarackknot.RunCount `json:"running,omitempty"`
	// Runs are further running requests, for planners that read this form.
	Runs    shortRuns            `json:"runs,omitempty"`
	Models  []modelDemandMessage `json:"wants,omitempty"`
	Notices []noticeMessage      `json:"limits,omitempty"`
	// Brittle says of services what their endpoints have told the host since the last message.
	Brittle []brittleMessage `json:"brittle,omitempty"`
	// Catalog is the version of the configuration in force on the host.
	Catalog int64 `json:"catalog,omitempty"`
	// Acknowledged is the sequence of the last message of the planner, with its
	// Fence; 0 if the host promises nothing.
	Acknowledged int64 `json:"seen,omitempty"`
	Fence        int64 `json:"fence,omitempty"`
	// SentMs is the time since boot on the host, in ms; 0 is not a time.
	SentMs int64 `json:"sentMs"`
	// Behind is set when the host missed a message and needs a full view.
	Behind bool `json:"behind,omitempty"`
	// Lists are the versions of the planner's lists that the host has, which a full view
	// need not repeat.
	Lists *heldLists `json:"lists,omitempty"`
	// ListsUnchanged says that Lists are left out because they are those of the last message.
	ListsUnchanged bool `json:"sameLists,omitempty"`
}

// heldLists are versions of lists from the planner with a fencing token.
type heldLists struct {
	Fence   int64 `json:"fence"`
	Hosts   int64 `json:"hosts,omitempty"`
	Members int64 `json:"members,omitempty"`
	// Loads says that the host reads the loads of engines by index, Shares that it reads the
	// shares of its failure domain.
	Loads  bool `json:"loads,omitempty"`
	Shares bool `json:"shares,omitempty"`
}

type modelDemandMessage struct {
	Service       string   `json:"service"`
	Model         string   `json:"model"`
	Waiting       int      `json:"waiting,omitempty"`
	Tight         int      `json:"tight,omitempty"`
	ObjectiveMs   int64    `json:"objectiveMs,omitempty"`
	DeadlineMs    int64    `json:"deadlineMs,omitempty"`
	Adapters      []string `json:"adapters,omitempty"`
	Total         int64    `json:"total,omitempty"`
	TightTotal    int64    `json:"tightTotal,omitempty"`
	LastUsedMsAgo int64    `json:"usedMsAgo,omitempty"`
}

// viewMessage is sent by the planner to a host.
type viewMessage struct {
	Fence int64 `json:"fence"`
	// Sequence numbers the messages to the host; a gap means a lost message.
	Sequence int64 `json:"n,omitempty"`
	// Full marks a full view, which replaces all earlier engines and forecasts.
	Full    bool `json:"all,omitempty"`
	Leaving bool `json:"leaving,omitempty"`
	// Engines and Forecasts hold the entries that changed since the last message,
	// in a full view all entries. RemovedForecasts names the models that no longer
	// have a forecast.
	Engines []engineMessage `json:"engines,omitempty"`
	// Loads are pairs of the index of an engine and the number of requests that other hosts
	// run at it, for hosts that read them; for others they are among Engines.
	Loads            []int             `json:"loads,omitempty"`
	Forecasts        []forecastMessage `json:"forecasts,omitempty"`
	RemovedForecasts []modelKey        `json:"settled,omitempty"`
	// Notices holds all notices of endpoints; omitted if they are unchanged since the last
	// message.
	Notices []noticeMessage `json:"limits,omitempty"`
	// Brittle says of all services of which it is known whether their endpoints are brittle.
	Brittle []brittleMessage `json:"brittle,omitempty"`
	// Hosts is the encoded []HostEntry of the hosts that callers may be sent to, of the
	// version HostsVersion; omitted if it is unchanged since the last message, or if the
	// host has said that it has this version.
	Hosts        json.RawMessage `json:"hosts,omitempty"`
	HostsVersion int64           `json:"hostsVersion,omitempty"`
	// HostsSet and HostsRemoved are what has changed since the version HostsBase, in place
	// of Hosts.
	HostsBase    int64                    `json:"hostsBase,omitempty"`
	HostsSet     []tamarackknot.HostEntry `json:"hostsSet,omitempty"`
	HostsRemoved []string                 `json:"hostsRemoved,omitempty"`
	// Shares are the shares that leave the host's failure domain, of the version
	// SharesVersion, planned SharesAgeMs ago; omitted if they are unchanged since the last
	// message. SharesVersion is 0 if the planner plans none or the host does not read them.
	Shares        []shareMessage `json:"shares,omitempty"`
	SharesVersion int64          `json:"sharesVersion,omitempty"`
	SharesAgeMs   int64          `json:"sharesAgeMs,omitempty"`
	// LeaseEnd is the end offset of the lease stream known to the planner, in the
	// era LeaseEra of the store.
	LeaseEnd int64 `json:"lease,omitempty"`
	LeaseEra int64 `json:"leaseEra,omitempty"`
	// SentMs is the time since boot at the planner, in ms; 0 if it does not say.
	SentMs int64 `json:"sentMs,omitempty"`
	// Planner is the planner's own entry, only in full views. ReadsShort says, in these, that
	// the planner reads the short forms of reports.
	Planner    *tamarackknot.HostEntry `json:"planner,omitempty"`
	ReadsShort bool                    `json:"readsShort,omitempty"`
	// Members are the names of the registered hosts, alive or not, of the version
	// MembersVersion; omitted like Hosts. MembersAgeMs is the age of the planner's
	// last read of them, -1 if it has not read them.
	Members        []string `json:"members,omitempty"`
	MembersVersion int64    `json:"membersVersion,omitempty"`
	MembersAgeMs   int64    `json:"membersAgeMs"`
	// EchoMs is SentMs of the last message from the host, 0 if there is none. It
	// tells the host how old this message is at most.
	EchoMs int64 `json:"echoMs,omitempty"`
	// Catalog and Endpoints are the planner's positions in these streams.
	Catalog   streamMessage `json:"catalog"`
	Endpoints streamMessage `json:"endpoints"`
}

// streamMessage is a StreamState with the age of the last read in place of its
// time.
type streamMessage struct {
	Version int64 `json:"v"`
	AgeMs   int64 `json:"ageMs"` // -1: never read
	// ReadableMs is for how long reads have not failed; 0 if the planner does not say.
	ReadableMs int64 `json:"readableMs,omitempty"`
	// ConfirmedMsAgo is the time in ms since Version was known to be the newest one, rounded
	// up; 0 if it never was, or if the planner does not say.
	ConfirmedMsAgo int64 `json:"confirmedMsAgo,omitempty"`
}

func encodeStream(s tamarackknot.StreamState, now time.Time) streamMessage {
	if s.ReadAt.IsZero() {
		return streamMessage{AgeMs: -1}
	}
	m := streamMessage{Version: s.Version, AgeMs: now.Sub(s.ReadAt).Milliseconds()}
	if !s.ReadableSince.IsZero() {
		m.ReadableMs = max(now.Sub(s.ReadableSince).Milliseconds(), 0)
	}
	return m
}

// confirmedMsAgo returns the age of a confirmation. It must be determined after the echo of the
// message, since the process may be suspended in between.
func confirmedMsAgo(s tamarackknot.StreamState, now time.Duration) int64 {
	if s.ConfirmedAt <= 0 {
		return 0
	}
	return (now - s.ConfirmedAt).Milliseconds() + 1
}

func decodeStream(m streamMessage, now time.Time) tamarackknot.StreamState {
	s := tamarackknot.StreamState{Version: m.Version}
	if m.AgeMs >= 0 {
		s.ReadAt = now.Add(-time.Duration(m.AgeMs) * time.Millisecond)
	}
	if m.ReadableMs > 0 {
		s.ReadableSince = now.Add(-time.Duration(m.ReadableMs) * time.Millisecond)
	}
	return s
}

// engineMessage is the state of one engine; Others is the number of requests
// that other hosts run at it.
type engineMessage struct {
	ID string `json:"id"` // endpoint id
	// Index identifies the engine in Loads from this message on.
	Index int `json:"index,omitempty"`
	// HeldUnchanged is set if Held is omitted because the models are unchanged
	// since the last message.
	HeldUnchanged bool          `json:"same,omitempty"`
	Held          []heldMessage `json:"held,omitempty"`
	Others        int           `json:"others,omitempty"`
}

type heldMessage struct {
	Model    string   `json:"m"`
	Adapters []string `json:"a,omitempty"`
}

// noticeMessage is an EndpointNotice with the age of the observation.
type noticeMessage struct {
	ID        string  `json:"id"`
	BornMs    int64   `json:"bornMs"`
	Limited   bool    `json:"limited,omitempty"`
	PerSecond float64 `json:"perSecond,omitempty"`
	Leaving   bool    `json:"leaving,omitempty"`
	AgeMs     int64   `json:"ageMs"`
}

func encodeNotices(notices []tamarackknot.EndpointNotice, now time.Time) []noticeMessage {
	out := make([]noticeMessage, 0, len(notices))
	for _, l := range notices {
		out = append(out, noticeMessage{
			ID: l.Endpoint, BornMs: l.Born.UnixMilli(), Limited: l.Limit.Limited, PerSecond: l.Limit.PerSecond, Leaving: l.Leaving,
			AgeMs: now.Sub(l.At).Milliseconds(),
		})
	}
	return out
}

func decodeNotices(messages []noticeMessage, now time.Time) []tamarackknot.EndpointNotice {
	out := make([]tamarackknot.EndpointNotice, 0, len(messages))
	for _, m := range messages {
		out = append(out, tamarackknot.EndpointNotice{
			Endpoint: m.ID, Born: time.UnixMilli(m.BornMs), At: now.Add(-time.Duration(m.AgeMs) * time.Millisecond),
			Limit: tamarackknot.RateLimit{Limited: m.Limited, PerSecond: m.PerSecond}, Leaving: m.Leaving,
		})
	}
	return out
}

// brittleMessage is a BrittleService with the age of the observation.
type brittleMessage struct {
	Service     string `json:"service"`
	Ended       bool   `json:"ended,omitempty"`
	MaxDeclines int    `json:"maxDeclines,omitempty"`
	AgeMs       int64  `json:"ageMs"`
}

func encodeBrittle(services []tamarackknot.BrittleService, now time.Time) []brittleMessage {
	out := make([]brittleMessage, 0, len(services))
	for _, s := range services {
		out = append(out, brittleMessage{Service: s.Service, Ended: !s.Brittle, MaxDeclines: s.MaxDeclines, AgeMs: now.Sub(s.At).Milliseconds()})
	}
	return out
}

func decodeBrittle(messages []brittleMessage, now time.Time) []tamarackknot.BrittleService {
	out := make([]tamarackknot.BrittleService, 0, len(messages))
	for _, m := range messages {
		out = append(out, tamarackknot.BrittleService{
			Service: m.Service, Brittle: !m.Ended, MaxDeclines: m.MaxDeclines, At: now.Add(-time.Duration(m.AgeMs) * time.Millisecond),
		})
	}
	return out
}

type forecastMessage struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	ReadyMs int64  `json:"readyMs"`
}

// modelKey identifies a model of a service.
type modelKey struct {
	Service string `json:"service"`
	Model   string `json:"model"`
}

func encodeDemand(d tamarackknot.HostDemand, all, behind bool, catalog int64, now time.Time) demandMessage {
	m := demandMessage{Leaving: d.Leaving, Isolated: d.Isolated, Full: all, Running: d.Running, Catalog: catalog, Behind: behind, Notices: encodeNotices(d.Notices, now), Brittle: encodeBrittle(d.Brittle, now)}
	for _, w := range d.Models {
		out := modelDemandMessage{
			Service: w.Service, Model: w.Model, Waiting: w.Waiting, Tight: w.Tight, Adapters: w.Adapters,
			Total: w.Total, TightTotal: w.TightTotal, LastUsedMsAgo: now.Sub(w.LastUsed).Milliseconds(),
		}
		if w.Waiting > 0 {
			out.ObjectiveMs = w.Objective.Sub(now).Milliseconds()
			out.DeadlineMs = w.Deadline.Sub(now).Milliseconds()
		}
		m.Models = append(m.Models, out)
	}
	return m
}

func decodeModelDemand(m modelDemandMessage, now time.Time) tamarackknot.ModelDemand {
	return tamarackknot.ModelDemand{
		Service: m.Service, Model: m.Model, Waiting: m.Waiting, Tight: m.Tight, Adapters: m.Adapters,
		Total: m.Total, TightTotal: m.TightTotal,
		Objective: now.Add(time.Duration(m.ObjectiveMs) * time.Millisecond),
		Deadline:  now.Add(time.Duration(m.DeadlineMs) * time.Millisecond),
		LastUsed:  now.Add(-time.Duration(m.LastUsedMsAgo) * time.Millisecond),
	}
}

func decodeHeld(held []heldMessage) []tamarackknot.HeldModel {
	out := make([]tamarackknot.HeldModel, 0, len(held))
	for _, h := range held {
		out = append(out, tamarackknot.HeldModel{Name: h.Model, Adapters: h.Adapters})
	}
	return out
}
