// Package medlarlogger writes log lines, one JSON object each.
package medlarlogger

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"medlarfield/internal/base/medlarid"
)

// New returns a logger for an instance at a level of "debug", "info", "warn" or
// "error"; any other level is "info".
func New(w io.Writer, level string, name medlarid.InstanceID, zone medlarid.Zone) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		l = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(l).With().Timestamp().Str("instance", string(name)).Str("zone", string(zone)).Logger()
}

// timeFormat has milliseconds, so that lines of several instances can be put in order.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// The library keeps the format in a variable that all loggers read.
func init() { zerolog.TimeFieldFormat = timeFormat }

// Sizes and times of a bounded writer.
const (
	bufferBytes   = 256 << 10
	flushInterval = 100 * time.Millisecond
)

// Writer gathers log lines and writes them from a goroutine of its own, so that who
// logs never waits. Lines that find no room are dropped, and their number is written
// once there is room again.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	buffer  []byte
	dropped int
	total   int // lines dropped so far
}

// NewWriter returns a writer. Run must be running.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out} }

// Write takes a line. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > bufferBytes {
		w.dropped++
		w.total++
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// Run writes what was gathered until ctx ends, and then the rest.
func (w *Writer) Run(ctx context.Context) {
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	var spare []byte
	for {
		select {
		case <-ctx.Done():
			w.flush(spare)
			return
		case <-t.C:
			spare = w.flush(spare)
		}
	}
}

// flush writes the buffer out and returns it, to be used again. A failure to write
// has nowhere to be reported.
func (w *Writer) flush(spare []byte) []byte {
	w.mu.Lock()
	full, dropped := w.buffer, w.dropped
	w.buffer, w.dropped = spare[:0], 0
	w.mu.Unlock()
	if dropped > 0 {
		full = fmt.Appendf(full, `{"level":"warn","message":"log lines dropped","lines":%d}`+"\n", dropped)
	}
	if len(full) > 0 {
		_, _ = w.out.Write(full)
	}
	return full
}
