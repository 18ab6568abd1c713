// Package medlarcatalog holds the operators' configuration of an attached instance:
// the routes from requests to services, and the client accounts of keys.
//
// Rules:
//
//	R1  Of the routes of a host, the one with the longest prefix of the request's
//	    path is used.
//	R2  A catalog is immutable; a new version is a new catalog.
//	R3  An isolated account shares cached context with no other one. The others share it
//	    among themselves for as long as the same accounts are isolated.
package medlarcatalog

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
)

// RouteKind determines whether requests of a route may be repeated.
type RouteKind string

// Kinds of routes.
const (
	KindIdempotent RouteKind = "safe"   // may run more than once
	KindAtMostOnce RouteKind = "once"   // must not run more than once
	KindStream     RouteKind = "stream" // the response is an event stream
)

// Backend is one of the services among which a route distributes requests by weight.
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
	Timeout            time.Duration // maximum time to the end of the response; 0 for none
	TargetLatency      time.Duration // response time up to which a response has its full value
	TargetEventGap     time.Duration // gap between two events up to which a stream has its full value
	ClientStallTimeout time.Duration // gap after which clients cancel a stream; 0 if unknown
	MaxAttempts        int           // maximum number of replicas that one request is sent to
	PriorityLevel      int           // 0 is the most urgent
	AllowAnonymous     bool          // requests need no key
	// Resumable reports that a stream may be resumed on another replica.
	Resumable bool
}

// Repeatable reports whether a request of the route may be executed more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// PickService returns the service for a request, in proportion to the weights of the
// backends; at is a random number from 0 to 1 drawn for each request.
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

// Engine describes the replicas of a service of model engines.
type Engine struct {
	Slots         int             // concurrent requests per replica
	CacheTokens   medlarid.Tokens // capacity of a replica's KV cache
	BytesPerToken medlarid.Bytes  // size of a token in the KV cache
	Models        []medlarid.ModelID
}

// KVStore is a store of KV-cache blocks.
type KVStore struct {
	Address         medlarid.Address
	Zone            medlarid.Zone
	Capacity        medlarid.Tokens
	Managed         bool          // evicts nothing by itself
	MaxEventReaders int           // maximum number of concurrent readers of its events
	BytesPerSecond  float64       // bandwidth of its link
	TransferSetup   time.Duration // setup time of each transfer
}

// Service is a set of replicas, or one KV store.
type Service struct {
	ID             medlarid.ServiceID
	MaxConnections int      // per replica, from all callers; 0 if unknown
	Engine         *Engine  // nil for a service without models
	KVStore        *KVStore // nil for a service with replicas
	// ColdRate is the number of requests per second that a cold replica gets from all instances together, and ColdTime
	// the time from its start for which it is cold; 0 if the operators state none.
	ColdRate float64
	ColdTime time.Duration
}

// Account is a client account as configured by the operators.
type Account struct {
	ID                medlarid.AccountID
	PriorityLevel     int
	OverridesPriority bool // PriorityLevel overrides that of the route
	Isolated          bool // shares no cached context with other accounts
}

// Limits bound the requests of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration // maximum time to send the request line and header
	IdleTimeout    time.Duration // maximum time between two requests of a connection
}

// DefaultLimits apply before the first catalog, and in place of those that a catalog does not state.
var DefaultLimits = Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// orDefault returns the limits with DefaultLimits in place of zeros.
func (l Limits) orDefault() Limits {
	l.MaxHeaderBytes = cmp.Or(l.MaxHeaderBytes, DefaultLimits.MaxHeaderBytes)
	l.MaxBodyBytes = cmp.Or(l.MaxBodyBytes, DefaultLimits.MaxBodyBytes)
	l.HeaderTimeout = cmp.Or(l.HeaderTimeout, DefaultLimits.HeaderTimeout)
	l.IdleTimeout = cmp.Or(l.IdleTimeout, DefaultLimits.IdleTimeout)
	return l
}

// Catalog is one version of the configuration (R2).
type Catalog struct {
	Version  uint64
	Services map[medlarid.ServiceID]Service
	Limits   Limits

	keyRequired bool // accounts are in use: requests need a key
	routes      map[string][]Route
	accounts    map[string]Account
	isolated    map[medlarid.AccountID]bool
	shared      medlarkey.CacheGroup // of the accounts that are not isolated (R3)
}

// CallerLimits returns the limits of callers' requests, which are DefaultLimits before the first catalog.
func (c *Catalog) CallerLimits() Limits {
	if c == nil {
		return DefaultLimits
	}
	return c.Limits
}

// AccountKeys is a client account with its keys.
type AccountKeys struct {
	Account Account
	Keys    []string
}

// New returns a catalog. keyRequired reports whether accounts are in use: all routes but
// those that allow anonymous requests then need a key.
func New(version uint64, routes []Route, services []Service, accountKeys []AccountKeys, keyRequired bool, limits Limits) *Catalog {
	c := &Catalog{
		Version:     version,
		Services:    make(map[medlarid.ServiceID]Service, len(services)),
		Limits:      limits.orDefault(),
		keyRequired: keyRequired,
		routes:      map[string][]Route{},
		accounts:    map[string]Account{},
		isolated:    map[medlarid.AccountID]bool{},
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
	for _, a := range accountKeys {
		for _, k := range a.Keys {
			c.accounts[k] = a.Account
		}
		if a.Account.Isolated {
			c.isolated[a.Account.ID] = true
		}
	}
	c.shared = medlarkey.SharedGroup(slices.Collect(maps.Keys(c.isolated)))
	return c
}

// CacheGroup returns the accounts with which an account shares cached context (R3). An account that an earlier
// catalog isolated stays so.
func (c *Catalog) CacheGroup(a Account) medlarkey.CacheGroup {
	if a.Isolated || c.isolated[a.ID] {
		return medlarkey.OwnGroup(a.ID)
	}
	return c.shared
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

// Account returns the account of a request to a route; ok is false if its key
// belongs to no account. A request to a route that allows anonymous requests, or to
// a catalog that requires no keys, is accepted with any key: it has the account of
// its key, or the zero Account.
func (c *Catalog) Account(r *Route, key string) (a Account, ok bool) {
	a, ok = c.accounts[key]
	return a, ok || r.AllowAnonymous || !c.keyRequired
}

// AccountNamed returns the account with an id that has a key.
func (c *Catalog) AccountNamed(id medlarid.AccountID) (Account, bool) {
	for _, a := range c.accounts {
		if a.ID == id {
			return a, true
		}
	}
	return Account{}, false
}

// hostOf returns a host in lower case without its port.
func hostOf(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
