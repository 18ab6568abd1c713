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

// TestSharedGroup guards against instances that name the accounts that share cached parts differently, and against one
// name for two sets of isolated accounts.
func TestSharedGroup(t *testing.T) {
	type ids = []medlarid.AccountID
	for _, tc := range []struct {
		name string
		a, b ids
		same bool
	}{
		{"another order", ids{"x", "y"}, ids{"y", "x"}, true},
		{"an account twice", ids{"x", "y", "x"}, ids{"x", "y"}, true},
		{"one more", ids{"x"}, ids{"x", "y"}, false},
		{"none", nil, ids{"x"}, false},
		{"names that join to the same text", ids{"ab", "c"}, ids{"a", "bc"}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a, b := SharedGroup(tc.a), SharedGroup(tc.b)
			if (a == b) != tc.same {
				t.Errorf("groups %q and %q, want the same: %v", a, b, tc.same)
			}
		})
	}
	if got := NewCacheSalt("4", SharedGroup(ids{"x"})).Version(); got != "4" {
		t.Errorf("weight version %q of the salt, want 4", got)
	}
}
