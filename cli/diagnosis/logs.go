package diagnosis

import (
	"bufio"
	"bytes"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"
)

// maxLineBytes limits a line of the logs.
const maxLineBytes = 1 << 20

// Request is one attempt of a caller, from the line that a host writes at its
// end. Times are since the first line with a time.
type Request struct {
	Arrived, Ended time.Duration
	Route, Model   string
	// Prompt is the part of the prompt that belongs to the request itself; empty
	// for a plain service.
	Prompt string
	// Event is the message of the line; Status is 0 without an answer.
	Event  string
	Status int
	Reason string
	// Ran is the number of endpoints that may have run the request.
	Ran          int
	Objective    time.Duration
	GapObjective time.Duration
	// First is the time until the first event, or until the answer of a plain
	// service; Gap is the longest pause between two events.
	First, Gap time.Duration
	// The times for which the request waited for a model, an adapter and a slot.
	ModelWait, AdapterWait, SlotWait time.Duration
}

// Load is a load of a model by the planner.
type Load struct {
	Endpoint, Model, Tier string
	Started, Ended        time.Duration
}

// Logs is what the lines of all hosts tell.
type Logs struct {
	Requests []Request // ordered by arrival
	Loads    []Load
	// Skipped is the number of lines that are not in the format of the hosts.
	Skipped int
}

// line is one line of the logs with its keys.
type line struct {
	at     time.Duration
	values map[string]string
}

// Read reads the lines of any number of hosts in any order. A line has the time
// in its key "time" or, from a collector, in front as seconds.
func Read(r io.Reader) (*Logs, error) {
	logs := &Logs{}
	var start time.Time
	var pending []line // starts of loads whose end was not read yet
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		l, ok := parseLine(scanner.Bytes(), &start)
		if !ok {
			logs.Skipped++
			continue
		}
		switch l.values["msg"] {
		case "answered", "stream aborted", "caller disconnected":
			logs.Requests = append(logs.Requests, l.request())
		case "move":
			pending = append(pending, l)
		case "move ended":
			pending = logs.endLoad(pending, l)
		}
	}
	slices.SortStableFunc(logs.Requests, func(a, b Request) int { return int(a.Arrived - b.Arrived) })
	return logs, errors.Wrap(scanner.Err(), "read logs")
}

// parseLine splits a line into keys and values. It reports false for a line
// without a time or a message.
func parseLine(data []byte, start *time.Time) (line, bool) {
	l := line{values: make(map[string]string)}
	timed := false
	d := logfmt.NewDecoder(bytes.NewReader(data))
	for first := true; d.ScanRecord(); first = false {
		for d.ScanKeyval() {
			key := string(d.Key())
			if seconds, err := strconv.ParseFloat(key, 64); err == nil && first && !timed && d.Value() == nil {
				l.at, timed = time.Duration(seconds*float64(time.Second)), true
				continue
			}
			l.values[key] = string(d.Value())
		}
	}
	if !timed {
		at, err := time.Parse(time.RFC3339, l.values["time"])
		if err != nil {
			return l, false
		}
		if start.IsZero() {
			*start = at
		}
		l.at = at.Sub(*start)
	}
	return l, d.Err() == nil && l.values["msg"] != ""
}

func (l line) request() Request {
	r := Request{
		Ended: l.at, Arrived: l.at - l.millis("ms"), Event: l.values["msg"], Route: l.values["route"], Model: l.values["model"],
		Prompt: l.values["prompt"], Status: l.number("status"), Reason: l.values["reason"], Ran: l.number("ran"),
		Objective: l.millis("objectiveMs"), GapObjective: l.millis("gapObjectiveMs"), First: l.millis("firstMs"), Gap: l.millis("gapMs"),
		ModelWait: l.millis("modelMs"), AdapterWait: l.millis("adapterMs"), SlotWait: l.millis("slotMs"),
	}
	if _, streamed := l.values["firstMs"]; !streamed {
		r.First = l.millis("ms")
	}
	return r
}

// number returns the value of a key, 0 if it is missing or not a whole number:
// keys that do not apply are left out by the hosts.
func (l line) number(key string) int {
	n, err := strconv.Atoi(l.values[key])
	if err != nil {
		return 0
	}
	return n
}

func (l line) millis(key string) time.Duration {
	return time.Duration(l.number(key)) * time.Millisecond
}

// endLoad moves a load from the pending ones to the completed ones.
func (logs *Logs) endLoad(pending []line, end line) []line {
	i := slices.IndexFunc(pending, func(p line) bool {
		return p.values["endpoint"] == end.values["endpoint"] && p.values["load"] == end.values["load"]
	})
	if i < 0 {
		return pending
	}
	logs.Loads = append(logs.Loads, Load{
		Endpoint: end.values["endpoint"], Model: end.values["load"], Tier: end.values["tier"], Started: pending[i].at, Ended: end.at,
	})
	return slices.Delete(pending, i, i+1)
}
