package medlarbuild

import (
	"testing"

	"medlarfield/internal/base/medlarid"
)

// TestStreamsOfOtherBuilds guards against a stream that an older instance beside this one knows by another key, and so assigns
// to another software version. The numbers are those of fb7fab7.
func TestStreamsOfOtherBuilds(t *testing.T) {
	for _, tc := range []struct {
		account, id string
		key         Key
		bucket      int
	}{{"", "r-1", 5971975630163197661, 29}, {"acme", "0f3a", 2349213806650204297, 9}} {
		k := KeyOf(medlarid.AccountID(tc.account), medlarid.RequestID(tc.id))
		if k != tc.key || k.bucket() != tc.bucket {
			t.Errorf("stream %s of %q has key %d in bucket %d, want %d in %d", tc.id, tc.account, k, k.bucket(), tc.key, tc.bucket)
		}
	}
}
