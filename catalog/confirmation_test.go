package catalog

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/fake"
)

// TestConfirmation guards against a version that counts as the newest one after a time at which
// the store held a newer one, or that was never read, and against one that is not confirmed
// although the store has nothing newer.
func TestConfirmation(t *testing.T) {
	type step func(t *testing.T, store *fake.Streams, w *Watcher)
	sleep := func(d time.Duration) step {
		return func(*testing.T, *fake.Streams, *Watcher) { time.Sleep(d) }
	}
	write := func(version int64) step {
		return func(t *testing.T, s *fake.Streams, _ *Watcher) { t.Helper(); put(t, s, version) }
	}
	for name, tt := range map[string]struct {
		steps    []step
		min, max time.Duration // age of the confirmation
		never    bool
	}{
		"no configuration":  {steps: []step{sleep(3 * time.Second)}, never: true},
		"nothing changes":   {steps: []step{write(3), sleep(10 * time.Second)}, max: 1300 * time.Millisecond},
		"after a change":    {steps: []step{write(3), sleep(2 * time.Second), write(5), sleep(2 * time.Second)}, max: 1300 * time.Millisecond},
		"the store is down": {steps: []step{write(3), sleep(2 * time.Second), func(_ *testing.T, s *fake.Streams, _ *Watcher) { s.SetDown("a", true) }, sleep(4 * time.Second)}, min: 4 * time.Second, max: 6 * time.Second},
		"restored from an older copy": {steps: []step{write(3), sleep(2 * time.Second), write(5), sleep(time.Second), func(_ *testing.T, s *fake.Streams, _ *Watcher) {
			s.Restore(2 * time.Second)
		}, sleep(4 * time.Second)}, min: 4 * time.Second, max: 6 * time.Second},
		"restored without a configuration": {steps: []step{write(3), sleep(2 * time.Second), func(_ *testing.T, s *fake.Streams, _ *Watcher) {
			s.Restore(time.Hour)
		}, sleep(4 * time.Second)}, min: 4 * time.Second, max: 6 * time.Second},
		"written again after that": {steps: []step{write(3), sleep(2 * time.Second), func(_ *testing.T, s *fake.Streams, _ *Watcher) {
			s.Restore(time.Hour)
		}, sleep(4 * time.Second), write(3), sleep(2 * time.Second)}, max: 1300 * time.Millisecond},
		"another host has a newer one": {steps: []step{write(3), sleep(2 * time.Second), func(_ *testing.T, _ *fake.Streams, w *Watcher) {
			w.ObserveVersion(7)
		}, sleep(4 * time.Second)}, min: 4 * time.Second, max: 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, began := fake.NewStreams(), time.Now()
				clock := func() time.Duration { return time.Since(began) + time.Hour }
				w, stop := start(t, Config{Store: store.Client("a"), ShortPoll: func() bool { return true }, Clock: clock})
				defer stop()
				for _, s := range tt.steps {
					s(t, store, w)
				}
				at := w.ConfirmedAt(version(w))
				require.Equal(t, tt.never, at == 0)
				if !tt.never {
					require.GreaterOrEqual(t, clock()-at, tt.min)
					require.LessOrEqual(t, clock()-at, tt.max)
				}
				require.Zero(t, w.ConfirmedAt(1), "an older version was never the newest one")
			})
		})
	}
}

// TestConfirmationOfVersions guards against a confirmation of a newer version that counts for
// the one that is still in force, and against one that is lost by a newer version.
func TestConfirmationOfVersions(t *testing.T) {
	var c confirmation
	require.Zero(t, c.at(9))
	c.record(5, 5, 10*time.Second)
	c.record(5, 5, 9*time.Second)
	require.Equal(t, 10*time.Second, c.at(5))
	for v := int64(6); v < 300; v++ {
		c.record(v, 5, time.Duration(v)*20*time.Second)
	}
	require.Equal(t, 10*time.Second, c.at(5), "the version in force was the newest one until then")
	require.Equal(t, 299*20*time.Second, c.at(299))
	require.LessOrEqual(t, len(c.versions), maxConfirmations)
	c.record(299, 299, 6000*time.Second)
	require.Equal(t, 6000*time.Second, c.at(300), "a newer version holds what was accepted before")
	require.Len(t, c.versions, 1)
	require.Zero(t, c.at(5))
}

// TestConfirmThroughOtherHost guards against a page with a part of what the store has, read by
// another host, that confirms what is in it.
func TestConfirmThroughOtherHost(t *testing.T) {
	w := New(Config{Decode: decode, Logger: log.New(io.Discard)})
	w.Offer(&tamarackknot.Catalog{Version: 3})
	w.lastRead.version = 3
	at := func(n int64) tamarackknot.Position { return tamarackknot.Position{Offset: n} }
	w.recordRead(tamarackknot.StreamPage{Next: at(4), End: at(6)}, time.Hour)
	require.Zero(t, w.ConfirmedAt(3))
	w.recordRead(tamarackknot.StreamPage{Next: at(6), End: at(6), Relayed: true}, time.Hour)
	require.Zero(t, w.ConfirmedAt(3))
	w.recordRead(tamarackknot.StreamPage{Next: at(6), End: at(6)}, time.Hour)
	require.Equal(t, time.Hour, w.ConfirmedAt(3))
}
