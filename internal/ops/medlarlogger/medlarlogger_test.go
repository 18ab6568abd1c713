package medlarlogger

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockingWriter is an output whose writes block until open is closed.
type blockingWriter struct {
	open chan struct{}
	mu   sync.Mutex
	b    bytes.Buffer
}

// Write blocks until open is closed, then writes to the buffer.
func (o *blockingWriter) Write(p []byte) (int, error) {
	<-o.open
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

func TestWriterDropsInsteadOfBlocking(t *testing.T) {
	out := &blockingWriter{open: make(chan struct{})}
	w := NewWriter(out)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 2000
	start := time.Now()
	for range lines {
		_, _ = w.Write(line)
		time.Sleep(100 * time.Microsecond)
	}
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("%d writes took %v, want at most 5s", lines, took)
	}
	dropped := w.Dropped()
	if dropped == 0 {
		t.Error("no line was dropped although the output blocked")
	}
	close(out.open)
	cancel()
	<-done
	written := strings.Count(out.b.String(), "xxx\n")
	if written+dropped != lines {
		t.Errorf("%d lines written and %d dropped, want %d together", written, dropped, lines)
	}
	if !strings.Contains(out.b.String(), "log lines dropped") {
		t.Error("no log line reports the dropped lines")
	}
}
