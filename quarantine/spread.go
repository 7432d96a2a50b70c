package quarantine

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"time"

	"tamarackknot.example/tamarackknot/internal/wait"
)

const (
	// spreadInterval is the least time between two messages with changes.
	spreadInterval = 100 * time.Millisecond
	// maxDirectHosts is the number of other hosts up to which each host sends its changes
	// to all of them. Among more, a change goes to fanout hosts, chosen at random, from each
	// host that learns of it.
	maxDirectHosts = 16
	fanout         = 4
	// repeatInterval is the time between two messages with all records, each to one host,
	// so that a host that missed a message learns of it.
	repeatInterval = time.Second
	// repeatTime is how long a loss for which nothing is blamed is repeated.
	repeatTime = 3 * time.Second
	// pullInterval is the time between two questions for the records of another host
	// until one answers.
	pullInterval = 200 * time.Millisecond
	// mergeTolerance is the difference of two times that is not worth a message: it comes
	// from the messages' time on the way.
	mergeTolerance = 50 * time.Millisecond
	sendTimeout    = 300 * time.Millisecond
)

// Methods of the messages between hosts.
const (
	methodSpread = "quarantine.spread"
	methodPull   = "quarantine.pull"
)

// spreadMessage carries records, with ages in place of times.
type spreadMessage struct {
	Losses  []lossMessage   `json:"losses,omitempty"`
	Answers []answerMessage `json:"answers,omitempty"`
}

type lossMessage struct {
	Endpoint string `json:"endpoint"`
	BornMs   int64  `json:"bornMs"`
	AgeMs    int64  `json:"ageMs"`
	// AliveMsAgo is -1 if the endpoint is not known to have answered.
	AliveMsAgo int64 `json:"aliveMsAgo"`
	// Parts and Requests are the causes. Earlier builds know parts only.
	Parts    []string `json:"parts,omitempty"`
	Requests []string `json:"requests,omitempty"`
}

// answerMessage names either a part or a request. Earlier builds ignore one without a part.
type answerMessage struct {
	Part    string `json:"part"`
	Request string `json:"request,omitempty"`
	AgeMs   int64  `json:"ageMs"`
}

// Run spreads the records until ctx ends.
func (l *List) Run(ctx context.Context) {
	tick := time.NewTicker(pullInterval)
	defer tick.Stop()
	for pulled := false; ; {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
			l.send(ctx, l.changes(), maxDirectHosts)
			l.sendReplies(ctx)
			if !wait.For(ctx, spreadInterval) {
				return
			}
		case <-tick.C:
			if pulled {
				l.send(ctx, l.all(), 1)
			} else if pulled = l.pull(ctx); pulled {
				tick.Reset(repeatInterval)
			}
		}
	}
}

// changes returns the records that changed since the last call.
func (l *List) changes() spreadMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	var m spreadMessage
	now := l.cfg.Clock()
	for lost, added := range l.unsentLosses {
		m.Losses = append(m.Losses, encodeLoss(lost, added, now))
	}
	for p := range l.unsentAnswers {
		m.Answers = append(m.Answers, encodeAnswer(p, now-l.lastAnswer(p)))
	}
	clear(l.unsentLosses)
	clear(l.unsentAnswers)
	return m
}

// all returns the losses within repeatTime and, of older ones, what supports a suspicion,
// with the answers to their parts.
func (l *List) all() spreadMessage {
	if !l.active.Load() {
		return spreadMessage{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune()
	var m spreadMessage
	now, answered, blamed := l.cfg.Clock(), make(map[causeID]bool), make(map[causeID]bool)
	for _, s := range l.suspects {
		maps.Copy(blamed, set(s.causes))
	}
	for _, lost := range l.losses {
		recent, open := now-lost.at <= repeatTime, make(map[causeID]bool)
		for p, unanswered := range lost.causes {
			if !recent && !blamed[p] {
				continue
			}
			if unanswered {
				open[p] = true
			}
			if at := l.lastAnswer(p); at > 0 && !answered[p] {
				answered[p] = true
				m.Answers = append(m.Answers, encodeAnswer(p, now-at))
			}
		}
		if recent || len(open) > 0 {
			m.Losses = append(m.Losses, encodeLoss(lost, open, now))
		}
	}
	return m
}

func encodeAnswer(c causeID, age time.Duration) answerMessage {
	if c.request {
		return answerMessage{Request: c.String(), AgeMs: age.Milliseconds()}
	}
	return answerMessage{Part: c.String(), AgeMs: age.Milliseconds()}
}

func encodeLoss(lost *loss, causes map[causeID]bool, now time.Duration) lossMessage {
	m := lossMessage{Endpoint: lost.start.endpoint, BornMs: lost.start.bornMs, AgeMs: (now - lost.at).Milliseconds(), AliveMsAgo: -1}
	if lost.aliveAt > 0 {
		m.AliveMsAgo = (now - lost.aliveAt).Milliseconds()
	}
	for c := range causes {
		if c.request {
			m.Requests = append(m.Requests, c.String())
		} else {
			m.Parts = append(m.Parts, c.String())
		}
	}
	return m
}

// send sends a message to some other hosts, chosen at random: at most as many as given, and
// fanout where there are more than maxDirectHosts.
func (l *List) send(ctx context.Context, m spreadMessage, hosts int) {
	if len(m.Losses)+len(m.Answers) == 0 {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(sendTimeout))
	defer cancel()
	others := l.cfg.Others()
	if len(others) > maxDirectHosts {
		hosts = min(hosts, fanout)
	}
	for _, i := range rand.Perm(len(others))[:min(len(others), hosts)] {
		l.notify(ctx, others[i], m)
	}
}

func (l *List) notify(ctx context.Context, host string, m spreadMessage) {
	if err := l.cfg.Peers.Notify(ctx, host, methodSpread, m); err != nil {
		l.cfg.Logger.Debug("cannot send records of crashes", "host", host, "error", err)
	}
}

// sendReplies tells hosts which causes of their losses were answered. Other hosts do not list
// a host that has just started, and send it no changes.
func (l *List) sendReplies(ctx context.Context) {
	l.mu.Lock()
	replies, now := make(map[string]spreadMessage, len(l.unsentReplies)), l.cfg.Clock()
	for host, causes := range l.unsentReplies {
		var m spreadMessage
		for c := range causes {
			m.Answers = append(m.Answers, encodeAnswer(c, now-l.lastAnswer(c)))
		}
		replies[host] = m
	}
	clear(l.unsentReplies)
	l.mu.Unlock()
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(sendTimeout))
	defer cancel()
	for host, m := range replies {
		l.notify(ctx, host, m)
	}
}

// pull asks another host for all records, and reports whether it answered.
func (l *List) pull(ctx context.Context) bool {
	others := l.cfg.Others()
	if len(others) == 0 {
		return false
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(sendTimeout))
	defer cancel()
	host := others[rand.IntN(len(others))]
	var m spreadMessage
	if err := l.cfg.Peers.Call(ctx, host, methodPull, struct{}{}, &m); err != nil {
		l.cfg.Logger.Debug("cannot ask for records of crashes", "host", host, "error", err)
		return false
	}
	l.merge(m, "")
	return true
}

func (l *List) handlePull(context.Context, string, json.RawMessage) (any, error) { return l.all(), nil }

func (l *List) handleSpread(_ context.Context, from string, params json.RawMessage) (any, error) {
	var m spreadMessage
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, err
	}
	l.merge(m, from)
	return nil, nil
}

// merge adds the records of a host, which gets a reply unless from is empty.
func (l *List) merge(m spreadMessage, from string) {
	if len(m.Losses)+len(m.Answers) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now, changed := l.cfg.Clock(), false
	known := make(map[causeID]time.Duration, len(m.Answers))
	for _, a := range m.Answers {
		p, ok := decodeCause(a.Part, false)
		if a.Request != "" {
			p, ok = decodeCause(a.Request, true)
		}
		if !ok {
			continue
		}
		at := max(now-millis(a.AgeMs), 1)
		known[p] = at
		if at-l.lastAnswer(p) > mergeTolerance {
			l.answersOf(p).put(p, at)
			changed = true
			if l.isOpen(p) {
				l.unsentAnswers[p] = true
			}
		}
	}
	for _, lost := range m.Losses {
		n := loss{start: start{lost.Endpoint, lost.BornMs}, at: now - millis(lost.AgeMs), causes: make(map[causeID]bool, len(lost.Parts)+len(lost.Requests))}
		if lost.AliveMsAgo >= 0 {
			n.aliveAt = now - millis(lost.AliveMsAgo)
		}
		addCauses(n.causes, lost.Parts, false)
		addCauses(n.causes, lost.Requests, true)
		if now-n.at <= lossRetention {
			changed = l.mergeLoss(n) || changed
		}
		if from != "" {
			l.noteReply(from, n.causes, known)
		}
	}
	if changed {
		l.update()
	}
	if len(l.unsentReplies) > 0 {
		wait.Wake(l.wake)
	}
}

// noteReply notes those causes of a loss of another host that were answered later than that
// host knows. l.mu is held.
func (l *List) noteReply(host string, causes map[causeID]bool, known map[causeID]time.Duration) {
	for c := range causes {
		if last := l.lastAnswer(c); last == 0 || last-known[c] <= mergeTolerance {
			continue
		}
		if l.unsentReplies[host] == nil {
			l.unsentReplies[host] = make(map[causeID]bool)
		}
		l.unsentReplies[host][c] = true
	}
}

// addCauses adds those causes of a message that can be read.
func addCauses(to map[causeID]bool, texts []string, request bool) {
	for _, text := range texts {
		if c, ok := decodeCause(text, request); ok {
			to[c] = true
		}
	}
}

func decodeCause(text string, request bool) (c causeID, ok bool) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(c.hash) {
		return c, false
	}
	return causeID{hash: [hashBytes]byte(data), request: request}, true
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
