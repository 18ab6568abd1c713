// Package medlarinstance is a client for the platform's list of live and leaving
// instances, which may be outdated.
//
//	GET /instances    with If-None-Match; 304 if the list has not changed
package medlarinstance

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/go-json-experiment/json"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/upstream/medlarhttp"
)

// Op names the operation that failed.
type Op string

// HTTP statuses of list responses.
const (
	statusOK          = 200
	statusNotModified = 304
)

// OpList reads the list.
const OpList Op = "list"

// Kind classifies a failure.
type Kind string

// Kinds of failure.
const (
	KindUnavailable Kind = "unavailable"
	KindMalformed   Kind = "malformed"
)

// Error is a failed read of the list.
type Error struct {
	Op   Op
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("instances %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Role is the kind of software that runs on an instance.
type Role string

// Roles.
const (
	RoleEntry   Role = "entry"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
	RoleStore   Role = "store"
)

// Instance is one entry of the list.
type Instance struct {
	ID            medlarid.InstanceID `json:"id"`
	Role          Role                `json:"role"`
	Zone          medlarid.Zone       `json:"zone"`
	Address       medlarid.Address    `json:"address"`
	Leaving       bool                `json:"leaving,omitempty"`
	PeerAddress   medlarid.Address    `json:"peer,omitempty"`    // address for peers; entry instances only
	Model         medlarid.ModelID    `json:"model,omitempty"`   // engines only
	Service       medlarid.ServiceID  `json:"service,omitempty"` // services only
	ChecksFencing bool                `json:"fenced,omitempty"`  // engine checks fencing tokens
}

// List is the complete list of instances.
type List struct {
	Instances []Instance `json:"instances"`
	// Unchanged reports that the list is the same as in the previous read.
	Unchanged bool `json:"-"`
}

// Client reads the list. It is safe for concurrent use.
type Client struct {
	http    *medlarhttp.Client
	address medlarid.Address
	timeout time.Duration

	mu   sync.Mutex
	tag  string // ETag of last
	last List
}

// New returns a client for the list at address. timeout bounds each read.
func New(http *medlarhttp.Client, address medlarid.Address, timeout time.Duration) *Client {
	return &Client{http: http, address: address, timeout: timeout}
}

// List reads the list, or returns the previous one if it has not changed. A list
// with an invalid entry is rejected as a whole with KindMalformed, because the
// instances missing from a partial list would look lost.
func (c *Client) List() (List, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := medlarhttp.Request{Method: "GET", Address: c.address, Path: "/instances", Timeout: c.timeout}
	if c.tag != "" {
		req.Headers = []medlarhttp.Header{{Name: "If-None-Match", Value: c.tag}}
	}
	resp, err := c.http.Do(req)
	switch {
	case err != nil:
		return List{}, &Error{Op: OpList, Kind: KindUnavailable, Err: err}
	case resp.Status == statusNotModified && c.tag != "":
		unchanged := c.last
		unchanged.Unchanged = true
		return unchanged, nil
	case resp.Status != statusOK:
		return List{}, &Error{Op: OpList, Kind: KindUnavailable, Err: medlarhttp.StatusError(resp.Status, resp.Body)}
	}
	l, err := parseList(resp.Body)
	if err != nil {
		return List{}, err
	}
	c.tag, c.last = resp.ETag, l
	return l, nil
}

// parseList decodes a list and validates all its entries.
func parseList(body []byte) (List, error) {
	var l List
	if err := json.Unmarshal(body, &l); err != nil {
		return List{}, &Error{Op: OpList, Kind: KindMalformed, Err: err}
	}
	seen := map[medlarid.InstanceID]bool{}
	for _, i := range l.Instances {
		if err := i.check(); err != nil {
			return List{}, &Error{Op: OpList, Kind: KindMalformed, Err: err}
		}
		if seen[i.ID] {
			return List{}, &Error{Op: OpList, Kind: KindMalformed, Err: fmt.Errorf("duplicate instance %q", i.ID)}
		}
		seen[i.ID] = true
	}
	return l, nil
}

func (i Instance) check() error {
	if i.ID == "" {
		return fmt.Errorf("instance without an id")
	}
	if _, err := netip.ParseAddrPort(string(i.Address)); err != nil {
		return fmt.Errorf("instance %q: address: %w", i.ID, err)
	}
	switch i.Role {
	case RoleEntry, RoleEngine, RoleService, RoleStore:
		return nil
	default:
		return fmt.Errorf("instance %q: unknown role %q", i.ID, i.Role)
	}
}
