// Package medlarcatalog is the operators' configuration of an attached instance:
// which route sends a request to which service, and which client account a key
// belongs to.
//
// Rules:
//
//	R1  Of the routes of a host, the one with the longest prefix that begins the
//	    path is taken.
//	R2  A catalog never changes; a new version is a new catalog.
package medlarcatalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"medlarfield/internal/base/medlarid"
)

// RouteKind tells what may be repeated of a route's requests.
type RouteKind string

// Kinds.
const (
	KindIdempotent RouteKind = "safe"   // may run more than once
	KindAtMostOnce RouteKind = "once"   // must not run more than once
	KindStream     RouteKind = "stream" // answered by an event stream
)

// Backend is one of the services that a route's requests are split among.
type Backend struct {
	Service medlarid.ServiceID
	Weight  float64
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name               string
	Host               string
	Prefix             string // begins and ends with a slash
	Kind               RouteKind
	Backends           []Backend
	Timeout            time.Duration // longest time to the end of the answer; 0 for none
	TargetLatency      time.Duration // time within which an answer is of full use
	TargetEventGap     time.Duration // longest pause between two events that is of full use
	ClientStallTimeout time.Duration // pause after which a caller leaves a stream; 0 is not known
	MaxAttempts        int           // replicas that one request may be sent to
	PriorityLevel      int           // 0 is the most urgent
	AllowAnonymous     bool          // needs no key
	// Resumable tells that a stream may go on at another replica.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// PickService returns the service for a request; at is a number from 0 to 1 that is drawn
// for each request.
func (r *Route) PickService(at float64) medlarid.ServiceID {
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	at *= total
	for _, b := range r.Backends {
		if at -= b.Weight; at < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Engine is what a service of model engines is made of.
type Engine struct {
	Slots         int             // requests that a replica computes at once
	CacheTokens   medlarid.Tokens // tokens that a replica's memory holds
	BytesPerToken medlarid.Bytes  // of one token in that memory
	Models        []medlarid.ModelID
}

// KVStore is a store of kept context.
type KVStore struct {
	Address         medlarid.Address
	Zone            medlarid.Zone
	Capacity        medlarid.Tokens
	Managed         bool          // drops nothing by itself
	MaxEventReaders int           // readers of its events at the same time
	BytesPerSecond  float64       // of its link, in bytes a second
	TransferSetup   time.Duration // before each transfer
}

// Service is a set of replicas, or one store.
type Service struct {
	ID             medlarid.ServiceID
	MaxConnections int      // that one replica accepts from all callers; 0 is not known
	Engine         *Engine  // nil for a service without models
	KVStore        *KVStore // nil for a service with replicas
}

// Account is a client account.
type Account struct {
	ID                medlarid.AccountID
	PriorityLevel     int
	OverridesPriority bool // Rank goes before the route's
	Isolated          bool // shares no kept context with others
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int           // bytes
	MaxBodyBytes   int           // bytes
	HeaderTimeout  time.Duration // time to send a request's head
	IdleTimeout    time.Duration // time between two requests of a connection
}

// Catalog is one version of the configuration (R2).
type Catalog struct {
	Version  uint64
	Services map[medlarid.ServiceID]Service
	Limits   Limits

	keyed    bool // requests need a key
	routes   map[string][]Route
	accounts map[string]Account
}

// AccountKeys is a client account with its keys.
type AccountKeys struct {
	Account Account
	Keys    []string
}

// New returns a catalog. keyed tells whether accounts are in use at all.
func New(version uint64, routes []Route, services []Service, holders []AccountKeys, keyed bool, limits Limits) *Catalog {
	c := &Catalog{
		Version:  version,
		Services: make(map[medlarid.ServiceID]Service, len(services)),
		Limits:   limits,
		keyed:    keyed,
		routes:   map[string][]Route{},
		accounts: map[string]Account{},
	}
	for _, r := range routes {
		host := hostOf(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	for _, rs := range c.routes {
		slices.SortStableFunc(rs, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range services {
		c.Services[s.ID] = s
	}
	for _, h := range holders {
		for _, k := range h.Keys {
			c.accounts[k] = h.Account
		}
	}
	return c
}

// Route returns the route of a host and path, or nil (R1).
func (c *Catalog) Route(host, path string) *Route {
	rs := c.routes[hostOf(host)]
	for i := range rs {
		if strings.HasPrefix(path, rs[i].Prefix) {
			return &rs[i]
		}
	}
	return nil
}

// Account returns the account that a request to a route is for; ok is false when
// its key belongs to none. A request to an open route, or without accounts in use,
// is for the account of its key or for none.
func (c *Catalog) Account(r *Route, key string) (a Account, ok bool) {
	a, ok = c.accounts[key]
	return a, ok || r.AllowAnonymous || !c.keyed
}

// hostOf returns a host without its port, in lower case.
func hostOf(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
