package medlarkey

import (
	"slices"
	"strings"
	"testing"

	"medlarfield/internal/base/medlarid"
)

func TestChainExtends(t *testing.T) {
	salt := NewSalt("a", "m", "", "v1")
	text := strings.Repeat("abcd", 3*int(BlockTokens))
	short := Chain(salt, text[:2*blockBytes+5])
	long := Chain(salt, text)
	if len(short) != 2 || len(long) != 3 {
		t.Fatalf("got %d and %d keys, want 2 and 3", len(short), len(long))
	}
	for i := range short {
		if short[i] != long[i] {
			t.Errorf("key %d of a longer prompt differs", i)
		}
	}
	if long[0] == long[1] {
		t.Error("equal text at another position has the same key")
	}
}

func TestSaltSeparatesKeys(t *testing.T) {
	base := NewSalt("a", "m", "l", "v1")
	for _, tc := range []struct {
		name string
		salt Salt
	}{
		{"account", NewSalt("b", "m", "l", "v1")},
		{"model", NewSalt("a", "n", "l", "v1")},
		{"adapter", NewSalt("a", "m", "k", "v1")},
		{"version", NewSalt("a", "m", "l", "v2")},
		{"fields concatenated", NewSalt("am", "", "l", "v1")},
	} {
		t.Run(tc.name, func(t *testing.T) { assertNoSharedKey(t, base, tc.salt) })
	}
}

func assertNoSharedKey(t *testing.T, a, b Salt) {
	t.Helper()
	text := strings.Repeat("x", 4*blockBytes)
	seen := map[Key]bool{}
	for _, k := range Chain(a, text) {
		seen[k] = true
	}
	for _, k := range Chain(b, text) {
		if seen[k] {
			t.Errorf("key %v is in both chains", k)
		}
	}
}

func TestRendezvousMovesOnlyLostKeys(t *testing.T) {
	holders := []medlarid.InstanceID{"s1", "s2", "s3", "s4"}
	moved := 0
	keys := Chain(NewSalt("a", "m", "", "v"), strings.Repeat("y", 256*blockBytes))
	for _, k := range keys {
		before := home(k, holders)
		after := home(k, holders[:3])
		if before != "s4" && before != after {
			t.Errorf("key %v moved from %s to %s although its home was not lost", k, before, after)
		}
		if before == "s4" {
			moved++
		}
	}
	if moved < len(keys)/8 || moved > len(keys)/2 {
		t.Errorf("%d of %d keys had their home on one of four holders", moved, len(keys))
	}
}

func home(k Key, holders []medlarid.InstanceID) medlarid.InstanceID {
	best := holders[0]
	for _, h := range holders[1:] {
		if Rendezvous(k, h) > Rendezvous(k, best) {
			best = h
		}
	}
	return best
}

func TestSetEvictsOldest(t *testing.T) {
	a, b, c, d := Key{1}, Key{2}, Key{3}, Key{4}
	for _, tc := range []struct {
		name string
		do   func(s *Set)
		want []Key
	}{
		{"room for all", func(s *Set) { s.Add(a); s.Add(b); s.Add(c) }, []Key{a, b, c}},
		{"the oldest is evicted", func(s *Set) { s.Add(a); s.Add(b); s.Add(c); s.Add(d) }, []Key{b, c, d}},
		{"removed and added again", func(s *Set) { s.Add(a); s.Remove(a); s.Add(a); s.Add(b); s.Add(c) }, []Key{a, b, c}},
		{"removed", func(s *Set) { s.Add(a); s.Add(b); s.Remove(a) }, []Key{b}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := NewSet(3)
			tc.do(s)
			for _, k := range []Key{a, b, c, d} {
				if got, want := s.Has(k), slices.Contains(tc.want, k); got != want {
					t.Errorf("has %v: %v, want %v", k[0], got, want)
				}
			}
		})
	}
}
