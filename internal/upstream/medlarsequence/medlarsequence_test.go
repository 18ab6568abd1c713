package medlarsequence

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestPush(t *testing.T) {
	for _, tc := range []struct {
		name  string
		order []int
		total int
		want  string
		whole bool
	}{
		{"in order", []int{0, 1, 2}, 3, "abc", true},
		{"repeated", []int{0, 0, 1, 1, 0, 2}, 3, "abc", true},
		{"late", []int{1, 2, 0}, 3, "abc", true},
		{"missing in the middle", []int{0, 2}, 3, "a", false},
		{"missing at the end", []int{0, 1}, 3, "ab", false},
		{"more than announced", []int{0, 1, 2}, 2, "abc", false},
	} {
		t.Run(tc.name, func(t *testing.T) { assertOrder(t, tc.order, tc.total, tc.want, tc.whole) })
	}
}

func assertOrder(t *testing.T, order []int, total int, want string, whole bool) {
	t.Helper()
	o := New(0)
	var got []string
	for _, n := range order {
		var err error
		if got, err = o.Push(got, Part{Number: n, Text: string(rune('a' + n))}); err != nil {
			t.Fatal(err)
		}
	}
	if s := strings.Join(got, ""); s != want {
		t.Errorf("got %q, want %q", s, want)
	}
	if err := o.CheckComplete(total); (err == nil) != whole {
		t.Errorf("Whole returned %v, want whole=%v", err, whole)
	}
}

func TestPushBoundsHeldParts(t *testing.T) {
	o := New(0)
	var err error
	for n := 1; err == nil && n < 10*maxHeld; n++ {
		_, err = o.Push(nil, Part{Number: n})
	}
	if err == nil || len(o.held) > maxHeld {
		t.Errorf("held %d parts, error %v", len(o.held), err)
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
		o := New(0)
		var got []string
		for _, k := range append(arrivals, repeats...) {
			got, _ = o.Push(got, Part{Number: k, Text: string(rune('A' + k))})
		}
		for i, s := range got {
			if s != string(rune('A'+i)) {
				t.Fatalf("part %d is %q", i, s)
			}
		}
		if err := o.CheckComplete(n); err != nil {
			t.Fatal(err)
		}
	})
}
