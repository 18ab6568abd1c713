package medlarsequence

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestPush(t *testing.T) {
	for _, tc := range []struct {
		name     string
		arrivals []int
		total    int
		want     string
		complete bool
	}{
		{"in order", []int{0, 1, 2}, 3, "abc", true},
		{"duplicates", []int{0, 0, 1, 1, 0, 2}, 3, "abc", true},
		{"first part arrives last", []int{1, 2, 0}, 3, "abc", true},
		{"missing in the middle", []int{0, 2}, 3, "a", false},
		{"missing at the end", []int{0, 1}, 3, "ab", false},
		{"more parts than the total", []int{0, 1, 2}, 2, "abc", false},
	} {
		t.Run(tc.name, func(t *testing.T) { assertDelivered(t, tc.arrivals, tc.total, tc.want, tc.complete) })
	}
}

func assertDelivered(t *testing.T, arrivals []int, total int, want string, complete bool) {
	t.Helper()
	b := New(0)
	var got []string
	for _, n := range arrivals {
		var err error
		if got, err = b.Push(got, Part{Number: n, Text: string(rune('a' + n))}); err != nil {
			t.Fatal(err)
		}
	}
	if s := strings.Join(got, ""); s != want {
		t.Errorf("got %q, want %q", s, want)
	}
	if err := b.CheckComplete(total); (err == nil) != complete {
		t.Errorf("CheckComplete returned %v, want complete=%v", err, complete)
	}
}

func TestPushBoundsHeldParts(t *testing.T) {
	b := New(0)
	var err error
	for n := 1; err == nil && n < 10*maxHeld; n++ {
		_, err = b.Push(nil, Part{Number: n})
	}
	if err == nil || len(b.held) > maxHeld {
		t.Errorf("%d parts are buffered, error %v", len(b.held), err)
	}
}

func TestPushRestoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "n")
		first := make([]int, n)
		for i := range first {
			first[i] = i
		}
		arrivals := rapid.Permutation(first).Draw(t, "arrivals")
		repeats := rapid.SliceOf(rapid.IntRange(0, n-1)).Draw(t, "repeats")
		b := New(0)
		var got []string
		for _, k := range append(arrivals, repeats...) {
			got, _ = b.Push(got, Part{Number: k, Text: string(rune('A' + k))})
		}
		for i, s := range got {
			if s != string(rune('A'+i)) {
				t.Fatalf("part %d is %q", i, s)
			}
		}
		if err := b.CheckComplete(n); err != nil {
			t.Fatal(err)
		}
	})
}
