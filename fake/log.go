// Package fake contains in-memory stand-ins for the platform, engines and
// services with fault injection. Tests and tamarackstandin use them.
package fake

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackknot.example/tamarackknot"
)

// Errors of Log.
var (
	// ErrLogDown is returned for a request without effect, as after a refused
	// connection. It matches tamarackknot.ErrNotAppended.
	ErrLogDown = errors.Mark(errors.New("fake log is down"), tamarackknot.ErrNotAppended)
	// ErrLogAnswerLost is returned for an append that took effect but whose
	// answer was lost.
	ErrLogAnswerLost = errors.New("fake log lost the answer to the append")
)

// LogConfig configures a Log.
type LogConfig struct {
	// Retention is how long a record is kept; 0 means forever.
	Retention time.Duration
	// AppendDelay is the duration of an append. The record is added after half
	// of it, so that a context can end before or after the append takes effect.
	AppendDelay time.Duration
}

// LogFaults selects the faults to inject into a Log or one of its clients.
type LogFaults struct {
	// ReadsDown and AppendsDown make requests fail without effect.
	ReadsDown   bool
	AppendsDown bool
	// Hang makes requests that would fail block until their context ends.
	Hang bool
	// Delay is added to the duration of every request.
	Delay time.Duration
	// LoseAnswers is the number of subsequent appends that take effect but
	// return ErrLogAnswerLost.
	LoseAnswers int
}

// Log is an in-memory append-only log. It is safe for concurrent use.
type Log struct {
	cfg LogConfig

	mu       sync.Mutex
	faults   LogFaults
	records  []logEntry
	first    tamarackknot.Offset
	appends  int64
	requests int64         // reads and appends
	changed  chan struct{} // closed and replaced when a record is added or faults change
}

type logEntry struct {
	data  []byte
	added time.Time
}

var _ tamarackknot.Log = (*Log)(nil)

// NewLog returns an empty log.
func NewLog(cfg LogConfig) *Log {
	return &Log{cfg: cfg, first: 1, changed: make(chan struct{})}
}

// SetFaults replaces the faults of the log. They also apply to waiting reads.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	l.notify()
}

// SetDown sets whether all requests fail.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.ReadsDown, l.faults.AppendsDown = down, down
	l.notify()
}

// SetSlow sets the delay that is added to every request.
func (l *Log) SetSlow(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.Delay = delay
}

// LoseAnswers makes the next n appends take effect but return ErrLogAnswerLost.
func (l *Log) LoseAnswers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.LoseAnswers = n
}

// ExpireNow drops all records before an offset, as if their retention had ended.
func (l *Log) ExpireNow(before tamarackknot.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(int(before - l.first))
}

// ExpireAll drops all records.
func (l *Log) ExpireAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(len(l.records))
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Requests returns the number of reads and appends, including failed ones.
func (l *Log) Requests() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests
}

// Next returns the offset of the next append.
func (l *Log) Next() tamarackknot.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next()
}

// Append implements tamarackknot.Log.
func (l *Log) Append(ctx context.Context, data []byte) (tamarackknot.Offset, error) {
	return l.append(ctx, data, func() LogFaults { return LogFaults{} })
}

// Read implements tamarackknot.Log.
func (l *Log) Read(ctx context.Context, from tamarackknot.Offset, limit int, deadline time.Time) (tamarackknot.LogPage, error) {
	return l.read(ctx, from, limit, deadline, func() LogFaults { return LogFaults{} })
}

func (l *Log) append(ctx context.Context, data []byte, clientFaults func() LogFaults) (tamarackknot.Offset, error) {
	delay, err := l.startRequest(ctx, func() (bool, LogFaults) { f := clientFaults(); return f.AppendsDown || l.faults.AppendsDown, f })
	if err != nil {
		return 0, err
	}
	delay += l.cfg.AppendDelay
	if err := sleepContext(ctx, delay/2); err != nil {
		return 0, err
	}
	f := clientFaults()
	l.mu.Lock()
	if l.faults.AppendsDown || f.AppendsDown {
		l.mu.Unlock()
		return 0, ErrLogDown
	}
	offset := l.next()
	l.records = append(l.records, logEntry{data: append([]byte(nil), data...), added: time.Now()})
	l.appends++
	l.notify()
	loseAnswer := f.LoseAnswers > 0
	if !loseAnswer && l.faults.LoseAnswers > 0 {
		l.faults.LoseAnswers--
		loseAnswer = true
	}
	l.mu.Unlock()
	if err := sleepContext(ctx, delay-delay/2); err != nil {
		return 0, err
	}
	if loseAnswer {
		return 0, ErrLogAnswerLost
	}
	return offset, nil
}

func (l *Log) read(ctx context.Context, from tamarackknot.Offset, limit int, deadline time.Time, clientFaults func() LogFaults) (tamarackknot.LogPage, error) {
	down := func() (bool, LogFaults) { f := clientFaults(); return f.ReadsDown || l.faults.ReadsDown, f }
	delay, err := l.startRequest(ctx, down)
	if err != nil {
		return tamarackknot.LogPage{}, err
	}
	if err := sleepContext(ctx, delay); err != nil {
		return tamarackknot.LogPage{}, err
	}
	for {
		l.mu.Lock()
		if isDown, _ := down(); isDown {
			l.mu.Unlock()
			return tamarackknot.LogPage{}, ErrLogDown
		}
		page := l.page(from, limit)
		changed := l.changed
		l.mu.Unlock()
		if len(page.Records) > 0 || from < page.First || !time.Now().Before(deadline) {
			return page, nil
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-ctx.Done():
			timer.Stop()
			return tamarackknot.LogPage{}, ctx.Err()
		case <-changed:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// startRequest counts a request and returns its delay. If the log is down, it
// returns ErrLogDown, or with Hang blocks until ctx ends.
func (l *Log) startRequest(ctx context.Context, down func() (bool, LogFaults)) (time.Duration, error) {
	l.mu.Lock()
	l.requests++
	isDown, f := down()
	hang := f.Hang || l.faults.Hang
	delay := l.faults.Delay + f.Delay
	l.mu.Unlock()
	if !isDown {
		return delay, ctx.Err()
	}
	if !hang {
		return 0, ErrLogDown
	}
	<-ctx.Done()
	return 0, ctx.Err()
}

// page returns up to limit records from an offset. It has no records if the
// record at from has expired. The caller holds mu.
func (l *Log) page(from tamarackknot.Offset, limit int) tamarackknot.LogPage {
	l.expire()
	page := tamarackknot.LogPage{First: l.first, Next: l.next()}
	if from < l.first {
		return page
	}
	for o := from; o < page.Next && len(page.Records) < limit; o++ {
		page.Records = append(page.Records, tamarackknot.LogRecord{Offset: o, Data: l.records[o-l.first].data})
	}
	return page
}

func (l *Log) next() tamarackknot.Offset {
	return l.first + tamarackknot.Offset(len(l.records))
}

func (l *Log) expire() {
	if l.cfg.Retention == 0 {
		return
	}
	n := 0
	for n < len(l.records) && time.Since(l.records[n].added) >= l.cfg.Retention {
		n++
	}
	l.drop(n)
}

func (l *Log) drop(n int) {
	n = min(max(n, 0), len(l.records))
	l.records = l.records[n:]
	l.first += tamarackknot.Offset(n)
}

func (l *Log) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func sleepContext(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// LogClient is one host's connection to a Log, with its own faults.
type LogClient struct {
	log *Log

	mu     sync.Mutex
	faults LogFaults
}

var _ tamarackknot.Log = (*LogClient)(nil)

// Client returns a connection with faults independent of other clients.
func (l *Log) Client() *LogClient {
	return &LogClient{log: l}
}

// SetFaults replaces the faults of the connection. A positive LoseAnswers applies
// to all appends until the faults are replaced; it is not counted down.
func (c *LogClient) SetFaults(f LogFaults) {
	c.mu.Lock()
	c.faults = f
	c.mu.Unlock()
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	c.log.notify()
}

// Append implements tamarackknot.Log.
func (c *LogClient) Append(ctx context.Context, data []byte) (tamarackknot.Offset, error) {
	return c.log.append(ctx, data, c.current)
}

// Read implements tamarackknot.Log.
func (c *LogClient) Read(ctx context.Context, from tamarackknot.Offset, limit int, deadline time.Time) (tamarackknot.LogPage, error) {
	return c.log.read(ctx, from, limit, deadline, c.current)
}

func (c *LogClient) current() LogFaults {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}
