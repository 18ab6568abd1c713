package medlarcall

import (
	"testing"
	"time"
)

func TestRecordWrite(t *testing.T) {
	for _, tc := range []struct {
		name       string
		writes     []time.Duration // times since the request's arrival
		first, gap time.Duration
	}{
		{"nothing written", nil, 0, 0},
		{"one write", []time.Duration{300}, 300, 0},
		{"longest gap", []time.Duration{300, 310, 400, 420}, 300, 90},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var s Summary
			for _, after := range tc.writes {
				s.RecordWrite(after)
			}
			if s.FirstByte != tc.first || s.MaxWriteGap != tc.gap {
				t.Errorf("first byte at %d and longest gap %d, want %d and %d", s.FirstByte, s.MaxWriteGap, tc.first, tc.gap)
			}
		})
	}
}
