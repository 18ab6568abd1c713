package medlarcatalog

import (
	"testing"

	"medlarfield/internal/base/medlarid"
)

func testCatalog() *Catalog {
	route := func(name, host, prefix string, open bool) Route {
		return Route{Name: name, Host: host, Prefix: prefix, AllowAnonymous: open, Backends: []Backend{{Service: "s", Weight: 1}}}
	}
	return New(1, []Route{
		route("short", "a.example", "/x/", false),
		route("long", "a.example", "/x/y/", false),
		route("open", "b.example", "/", true),
	}, nil, []AccountKeys{{Account: Account{ID: "acme"}, Keys: []string{"k1", "k2"}}}, true, Limits{})
}

func TestRoute(t *testing.T) {
	c := testCatalog()
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"A.Example:80", "/x/y/", "long"},
		{"a.example", "/x/yz", "short"},
		{"a.example", "/x", ""},
		{"a.example", "/z/", ""},
		{"b.example", "/anything", "open"},
		{"c.example", "/x/", ""},
	} {
		t.Run(tc.host+tc.path, func(t *testing.T) {
			got := ""
			if r := c.Route(tc.host, tc.path); r != nil {
				got = r.Name
			}
			if got != tc.want {
				t.Errorf("route %q, want %q", got, tc.want)
			}
		})
	}
}

func TestAccount(t *testing.T) {
	c := testCatalog()
	for _, tc := range []struct {
		name, host, key string
		want            medlarid.AccountID
		ok              bool
	}{
		{"known key", "a.example", "k2", "acme", true},
		{"unknown key", "a.example", "k3", "", false},
		{"no key", "a.example", "", "", false},
		{"open route without key", "b.example", "", "", true},
		{"open route with a key", "b.example", "k1", "acme", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a, ok := c.Account(c.Route(tc.host, "/x/"), tc.key)
			if a.ID != tc.want || ok != tc.ok {
				t.Errorf("account %q, %v; want %q, %v", a.ID, ok, tc.want, tc.ok)
			}
		})
	}
}

func TestPickServiceUsesWeights(t *testing.T) {
	r := Route{Backends: []Backend{{"a", 90}, {"none", 0}, {"b", 10}}}
	for _, tc := range []struct {
		at   float64
		want medlarid.ServiceID
	}{{0, "a"}, {0.89, "a"}, {0.91, "b"}, {1, "b"}} {
		if got := r.PickService(tc.at); got != tc.want {
			t.Errorf("at %v: service %q, want %q", tc.at, got, tc.want)
		}
	}
}
