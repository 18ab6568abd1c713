package medlartransport

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/encoding/protodelim"

	"medlarfield/internal/peer/medlarmessage"
)

// TestTruncatedMessageIsAnError guards against a message that counts as complete although
// its stream was closed before its end, wherever it was cut.
func TestTruncatedMessageIsAnError(t *testing.T) {
	for name, want := range map[string]*medlarmessage.Reply{
		"empty": {},
		"error": {Error: "call refused"},
		"batch": {Body: &medlarmessage.Reply_Fetched{Fetched: &medlarmessage.Fetched{Next: 7}}},
	} {
		t.Run(name, func(t *testing.T) {
			var b bytes.Buffer
			if _, err := protodelim.MarshalTo(&b, want); err != nil {
				t.Fatal(err)
			}
			for n := range b.Len() {
				if err := readMessage(bytes.NewReader(b.Bytes()[:n]), &medlarmessage.Reply{}); err == nil {
					t.Errorf("no error for %d of %d bytes", n, b.Len())
				}
			}
		})
	}
}
