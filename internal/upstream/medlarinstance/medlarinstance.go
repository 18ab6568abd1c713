// Package medlarinstance is the client of the platform's list of live and
// leaving instances, which lags behind.
//
//	GET /instances    with If-None-Match, 304 when nothing has changed
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

// HTTP statuses of the list.
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

// Error returns operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("instances %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Role tells what runs on an instance.
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
	PeerAddress   medlarid.Address    `json:"peer,omitempty"`    // of entry instances, for their peers
	Model         medlarid.ModelID    `json:"model,omitempty"`   // of engines
	Service       medlarid.ServiceID  `json:"service,omitempty"` // of services
	ChecksFencing bool                `json:"fenced,omitempty"`  // checks fencing numbers
}

// List is the whole list.
type List struct {
	Instances []Instance `json:"instances"`
	// Unchanged tells that the list is the one that was read before.
	Unchanged bool `json:"-"`
}

// Client reads the list. It is safe for concurrent use.
type Client struct {
	http    *medlarhttp.Client
	address medlarid.Address
	timeout time.Duration

	mu   sync.Mutex
	tag  string // entity tag of last
	last List
}

// New returns a client of the list at address. timeout bounds each read.
func New(http *medlarhttp.Client, address medlarid.Address, timeout time.Duration) *Client {
	return &Client{http: http, address: address, timeout: timeout}
}

// List reads the list, or returns the last one when it has not changed. A list with an entry that is not usable is an error of
// KindMalformed as a whole, since part of a list would look like lost instances.
func (c *Client) List() (List, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	call := medlarhttp.Request{Method: "GET", Address: c.address, Path: "/instances", Timeout: c.timeout}
	if c.tag != "" {
		call.Headers = []medlarhttp.Header{{Name: "If-None-Match", Value: c.tag}}
	}
	a, err := c.http.Do(call)
	switch {
	case err != nil:
		return List{}, &Error{Op: OpList, Kind: KindUnavailable, Err: err}
	case a.Status == statusNotModified && c.tag != "":
		same := c.last
		same.Unchanged = true
		return same, nil
	case a.Status != statusOK:
		return List{}, &Error{Op: OpList, Kind: KindUnavailable, Err: medlarhttp.StatusError(a.Status, a.Body)}
	}
	l, err := parse(a.Body)
	if err != nil {
		return List{}, err
	}
	c.tag, c.last = a.ETag, l
	return l, nil
}

// parse reads a list and checks it as a whole.
func parse(body []byte) (List, error) {
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
			return List{}, &Error{Op: OpList, Kind: KindMalformed, Err: fmt.Errorf("instance %q stands twice", i.ID)}
		}
		seen[i.ID] = true
	}
	return l, nil
}

func (i Instance) check() error {
	if i.ID == "" {
		return fmt.Errorf("an instance without an id")
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
