package medlarwithdrawal

import (
	"context"
	"testing"

	"medlarfield/internal/core/medlarworld"
)

// TestWithdraw guards against the end of an answer that has begun, or of another attempt of the same run.
func TestWithdraw(t *testing.T) {
	for _, tc := range []struct {
		name   string
		before func(*Attempt)
		c      medlarworld.Withdraw
		ended  bool
	}{
		{"waiting", func(*Attempt) {}, medlarworld.Withdraw{Run: "r", Attempt: 2}, true},
		{"begun", (*Attempt).Begin, medlarworld.Withdraw{Run: "r", Attempt: 2}, false},
		{"an earlier attempt", func(*Attempt) {}, medlarworld.Withdraw{Run: "r", Attempt: 1}, false},
		{"another run", func(*Attempt) {}, medlarworld.Withdraw{Run: "s", Attempt: 2}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := New()
			a, ctx, end := s.Start(context.Background(), "r", 2)
			tc.before(a)
			s.Withdraw(tc.c)
			if ended := ctx.Err() != nil; ended != tc.ended || a.Withdrawn() != tc.ended {
				t.Errorf("ended %v, withdrawn %v, want %v", ended, a.Withdrawn(), tc.ended)
			}
			a.Begin()
			if a.Withdrawn() != tc.ended {
				t.Error("an event that had arrived changes whether the attempt was withdrawn")
			}
			end()
			if s.Withdraw(medlarworld.Withdraw{Run: "r", Attempt: 2}); len(s.attempts) != 0 || ctx.Err() == nil {
				t.Errorf("%d attempts after the end", len(s.attempts))
			}
		})
	}
}
