package medlarkey

import (
	"fmt"
	"testing"

	"medlarfield/internal/base/medlarid"
)

// TestHashesOfOtherBuilds guards against parts, homes and upstreams that an older instance beside this one knows under another
// name. The numbers are those of fb7fab7.
func TestHashesOfOtherBuilds(t *testing.T) {
	part := Part(NewCacheSalt("4", "acme"), "m", "aa")
	for _, tc := range []struct {
		name, got, want string
	}{
		{"salt", string(NewCacheSalt("4", "acme")), "v4/acme"},
		{"shared salt", string(NewCacheSalt("4", "")), "v4"},
		{"part", fmt.Sprint(part), "0f29f8446013ce58cc50fe9f5e92f415"},
		{"rank of a home", fmt.Sprint(Rendezvous(part, "r-1")), "16995168930636196537"},
		{"upstream", fmt.Sprint(medlarid.HashOf("r-1")), "2524063471"},
	} {
		if tc.got != tc.want {
			t.Errorf("%s: %s, want %s", tc.name, tc.got, tc.want)
		}
	}
}
