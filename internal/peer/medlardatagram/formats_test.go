package medlardatagram

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"medlarfield/internal/core/medlarload"
	"medlarfield/internal/core/medlarsum"
)

// TestDatagramsOfOtherBuilds guards against datagrams that an older instance beside this one cannot read, or this one not of
// an older. The bytes were written by fb7fab7.
func TestDatagramsOfOtherBuilds(t *testing.T) {
	const written = "\n\aentry-1\x11\x05\x00\x00\x00\x00\x00\x00\x80\x18\xac\x02\"\n\x83\x80\x80\x80\b\x04\n\t\x01\x00"
	want := message{Sender: "entry-1", Key: 1<<63 + 5, Serial: 300, Loads: []medlarload.Load{{Upstream: 1<<31 + 3, Open: 4, Pending: 640}, {Upstream: 9, Open: 1}}}
	if b := string(encode(want)); b != written {
		t.Errorf("encoded %q, want %q", b, written)
	}
	for name, b := range map[string]string{"as written": written, "added field": written + "\xf8\x01\x07"} {
		t.Run(name, func(t *testing.T) {
			got, err := decode([]byte(b))
			if d := cmp.Diff(want, got); d != "" || err != nil {
				t.Error(d, err)
			}
		})
	}
}

// TestSumsBesideOtherBuilds guards against sums that an older instance takes for load, or that another form of them is read as.
func TestSumsBesideOtherBuilds(t *testing.T) {
	const written = "\n\aentry-1\x11\x05\x00\x00\x00\x00\x00\x00\x80\x18\xac\x02" +
		"2 \b\x03\x10\x02\x18\x01 \xaf\x020\x00)\a\x00\x00\x00\x00\x00\x00\x00:\n\t\x01\x00\xfa\xff\xff\xff\a\x04\n"
	sum := medlarsum.Message{
		Kind: medlarsum.KindTotal, Ranges: 2, Range: 1, Age: 303 * time.Millisecond, Report: 7,
		Loads: []medlarload.Load{{Upstream: 9, Open: 1}, {Upstream: 1<<31 + 3, Open: 4, Pending: 640}},
	}
	want := message{Sender: "entry-1", Key: 1<<63 + 5, Serial: 300, Sum: &sum}
	if b := string(encode(want)); b != written {
		t.Errorf("encoded %q, want %q", b, written)
	}
	got, err := decode([]byte(written))
	if d := cmp.Diff(want, got); d != "" || err != nil {
		t.Error(d, err)
	}
	got.Sum = nil // an older build does not know the field
	if len(got.Loads) > 0 || len(got.Changes) > 0 {
		t.Errorf("an older build reads %+v, want a report without load", got)
	}
}
