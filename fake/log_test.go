package fake

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackknot.example/tamarackknot"
)

// Guards against faults that behave differently from those of a real log, which
// would invalidate the tests of the journal.
func TestLogFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		l := NewLog(LogConfig{Retention: time.Minute, AppendDelay: 10 * time.Millisecond})
		offset, err := l.Append(ctx, []byte("a"))
		require.NoError(t, err)
		require.Equal(t, tamarackknot.Offset(1), offset)

		l.LoseAnswers(1)
		_, err = l.Append(ctx, []byte("b"))
		require.ErrorIs(t, err, ErrLogAnswerLost)
		page, err := l.Read(ctx, 2, 10, time.Time{})
		require.NoError(t, err)
		require.Equal(t, "b", string(page.Records[0].Data))

		shortCtx, cancel := context.WithTimeout(ctx, 7*time.Millisecond)
		_, err = l.Append(shortCtx, []byte("c"))
		cancel()
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.EqualValues(t, 3, l.Appends(), "the append took effect before its context ended")

		go func() {
			time.Sleep(time.Second)
			l.SetDown(true)
		}()
		started := time.Now()
		_, err = l.Read(ctx, 4, 10, time.Now().Add(time.Hour))
		require.ErrorIs(t, err, ErrLogDown)
		require.Equal(t, time.Second, time.Since(started), "a waiting read fails when the log goes down")
		_, err = l.Append(ctx, []byte("d"))
		require.ErrorIs(t, err, ErrLogDown)
		l.SetDown(false)

		c := l.Client()
		c.SetFaults(LogFaults{ReadsDown: true, Hang: true})
		shortCtx, cancel = context.WithTimeout(ctx, time.Second)
		_, err = c.Read(shortCtx, 1, 10, time.Time{})
		cancel()
		require.ErrorIs(t, err, context.DeadlineExceeded)
		_, err = c.Append(ctx, []byte("e"))
		require.NoError(t, err, "reads and appends of a client fail independently")

		time.Sleep(2 * time.Minute)
		page, err = l.Read(ctx, 1, 10, time.Time{})
		require.NoError(t, err)
		require.Equal(t, tamarackknot.LogPage{First: 5, Next: 5}, page)
	})
}
