// Package medlarlogger writes log lines as JSON objects, one per line.
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

// New returns a logger for an instance with the level "debug", "info", "warn" or "error".
// For any other level it uses "info".
func New(w io.Writer, level string, name medlarid.InstanceID, zone medlarid.Zone) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		l = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(l).With().Timestamp().Str("instance", string(name)).Str("zone", string(zone)).Logger()
}

// timeFormat has milliseconds, so that lines of several instances can be sorted by time.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// zerolog has no time format per logger, only this package variable.
func init() { zerolog.TimeFieldFormat = timeFormat }

// Buffer size and flush interval of a Writer.
const (
	bufferBytes   = 256 << 10
	flushInterval = 100 * time.Millisecond
)

// Writer buffers log lines and writes them from a separate goroutine, so that logging never
// blocks. Lines that do not fit into the buffer are dropped, and their number is logged at
// the next flush.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	buffer  []byte
	dropped int
	total   int // lines dropped since the start
}

// NewWriter returns a Writer to out. Nothing is written until Run is called.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out} }

// Write buffers a line. It never blocks on the output and never fails.
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

// Dropped returns the number of lines dropped since the start.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// Run writes buffered lines until ctx ends, and then writes the rest.
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

// flush writes the buffer and returns it for reuse. Write errors are ignored, as there is
// no other place to report them.
func (w *Writer) flush(spare []byte) []byte {
	w.mu.Lock()
	lines, dropped := w.buffer, w.dropped
	w.buffer, w.dropped = spare[:0], 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, `{"level":"warn","message":"log lines dropped","lines":%d}`+"\n", dropped)
	}
	if len(lines) > 0 {
		_, _ = w.out.Write(lines)
	}
	return lines
}
