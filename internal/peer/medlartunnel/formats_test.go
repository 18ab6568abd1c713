package medlartunnel

import (
	"strings"
	"testing"
	"time"
)

// TestRequestsOfOtherBuilds guards against requests that an older instance beside this one cannot read, or this one not of an
// older. The bytes were written by fb7fab7.
func TestRequestsOfOtherBuilds(t *testing.T) {
	open := request{sender: "entry-1", key: 1<<63 + 5, hint: Hint{Replica: "r-1", Incarnation: 1774547982893}}
	hint := open
	hint.hint.Leaving, hint.hint.Pause = true, 1500*time.Millisecond
	for _, tc := range []struct {
		name, bytes string
		want        request
	}{
		{"connection", "\x1e\n\aentry-1\x11\x05\x00\x00\x00\x00\x00\x00\x80\x1a\x03r-1 \xad\xb4\xb5\xda\xd23", open},
		{"hint", "#\n\aentry-1\x11\x05\x00\x00\x00\x00\x00\x00\x80\x1a\x03r-1 \xad\xb4\xb5\xda\xd23(\x010\xdc\v", hint},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if b := string(tc.want.encode()); b != tc.bytes {
				t.Errorf("encoded %q, want %q", b, tc.bytes)
			}
			if q, err := readRequest(strings.NewReader(tc.bytes)); q != tc.want || err != nil {
				t.Errorf("decoded %+v, %v; want %+v", q, err, tc.want)
			}
		})
	}
	t.Run("added field", func(t *testing.T) {
		if q, err := decodeRequest([]byte("\n\aentry-1\xfa\x01\x03new\xf8\x01\x07")); q.sender != "entry-1" || err != nil {
			t.Errorf("decoded %+v, %v; want the sender", q, err)
		}
	})
}

// TestResultsKeepTheirNumbers guards against an answer that another build takes for another one.
func TestResultsKeepTheirNumbers(t *testing.T) {
	got := []Result{ResultOpened, ResultRefused, ResultSilent, ResultCut, ResultUnused, ResultDenied, ResultTaken, ResultAnswers, ResultFollows}
	for i, r := range got {
		if r != Result(i+1) {
			t.Errorf("result %d has number %d", i+1, r)
		}
	}
}
