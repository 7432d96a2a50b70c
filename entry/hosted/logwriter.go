package hosted

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// logQueueSize is the number of lines that can be queued; further lines are
// dropped.
const logQueueSize = 4096

// LogWriter writes log lines asynchronously, so that a blocked output does not
// block requests.
type LogWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewLogWriter returns a LogWriter. Lines are written to out while Run runs.
func NewLogWriter(out io.Writer) *LogWriter {
	return &LogWriter{out: out, lines: make(chan []byte, logQueueSize), done: make(chan struct{})}
}

// Write implements io.Writer. It drops and counts the line if the queue is full,
// and never returns an error.
func (w *LogWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Run writes the lines until ctx ends, and then those that are still queued.
func (w *LogWriter) Run(ctx context.Context) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-ctx.Done():
			for {
				select {
				case line := <-w.lines:
					w.write(line)
				default:
					return
				}
			}
		}
	}
}

// Wait returns when Run has written the last line.
func (w *LogWriter) Wait() { <-w.done }

// write writes a line, preceded by the number of dropped lines, if any.
func (w *LogWriter) write(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, "level=warn msg=\"log lines left out\" count=%d\n", n)
	}
	_, _ = w.out.Write(line)
}
