package medlartunnel

import (
	"errors"
	"testing"
	"time"

	"medlarfield/internal/base/medlarmemory"
)

// TestConnectionsWithinMemory guards against other instances that make this one relay more connections than it has
// memory for, and against memory that stays reserved for connections that have ended.
func TestConnectionsWithinMemory(t *testing.T) {
	f := newFixture(t)
	account := medlarmemory.New(4 * connBytes) // the share of connections is one of them
	f.server.deps.Memory = account
	near, _ := f.open()
	_, err := f.client.Open(t.Context(), f.peer, "r", 1)
	var e *Error
	if !errors.As(err, &e) || e.Result != ResultDenied {
		t.Errorf("second connection: %v, want result %d", err, ResultDenied)
	}
	_ = near.Close()
	for end := time.Now().Add(soon); account.Held(medlarmemory.KindConnections) != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("memory stays reserved for a connection that has ended")
		}
	}
	f.open()
}
