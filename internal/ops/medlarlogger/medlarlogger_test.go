package medlarlogger

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"
)

// blocked is an output that takes nothing until it is opened.
type blocked struct {
	open chan struct{}
	mu   sync.Mutex
	b    bytes.Buffer
}

// Write waits until the output is opened.
func (o *blocked) Write(p []byte) (int, error) {
	<-o.open
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

func TestWriterDropsInsteadOfBlocking(t *testing.T) {
	out := &blocked{open: make(chan struct{})}
	w := NewWriter(out)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 2000
	begin := time.Now()
	for range lines {
		_, _ = w.Write(line)
		time.Sleep(100 * time.Microsecond)
	}
	if took := time.Since(begin); took > 5*time.Second {
		t.Errorf("writing took %v", took)
	}
	dropped := w.Dropped()
	if dropped == 0 {
		t.Error("nothing was dropped")
	}
	close(out.open)
	cancel()
	<-done
	written := strings.Count(out.b.String(), "xxx\n")
	if written+dropped != lines {
		t.Errorf("%d written and %d dropped of %d", written, dropped, lines)
	}
	if !strings.Contains(out.b.String(), "log lines dropped") {
		t.Error("the log does not say that lines were dropped")
	}
}
