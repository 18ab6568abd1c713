package medlarsettings

import (
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarjson"
)

// Attached are the settings of an entry instance that medlard attach runs on the users'
// platform.
type Attached struct {
	Name medlarid.InstanceID `json:"name"`
	Zone medlarid.Zone       `json:"zone"`
	// Listen is the address that serves callers; Status serves readiness and metrics.
	Listen medlarid.Address `json:"listen"`
	Status medlarid.Address `json:"status"`
	// Peers is the address that receives datagrams of other instances; empty, or without a port
	// since the platform has none free, for none.
	Peers medlarid.Address `json:"peers"`
	// Store is the address of the platform's store of topics.
	Store    medlarid.Address `json:"store"`
	MemoryMB int              `json:"memory"` // that the process may use
	Bounds   Bounds           `json:"bounds"`
	Pace     bool             `json:"pace"` // slow start of replicas, also of services that do not configure a cold rate
	Log      Log              `json:"log"`
}

// Ranges of the bounds on requests at cold replicas.
const (
	maxColdOver  = 1e3
	maxColdSlack = 1e6 // requests
)

// Bounds are the limits that the platform's operators set for an attached instance.
type Bounds struct {
	GracePeriod         medlarid.Duration `json:"grace"`     // from the stop signal to SIGKILL
	DeregistrationDelay medlarid.Duration `json:"out"`       // from the stop signal until no new connections arrive
	HandoverDelay       medlarid.Duration `json:"settle"`    // between the orders of two successive lease holders
	RetryRatio          float64           `json:"retries"`   // repeated attempts per request, over all instances
	OldVersionGrace     medlarid.Duration `json:"weights"`   // from the change of the desired weight version to the last start under an older one
	SettlingTime        medlarid.Duration `json:"stable"`    // after a start or an outage, until bounds in time hold for the instance as for others
	RemovalDelay        medlarid.Duration `json:"return"`    // in which removed replicas are listed again after an outage of the store
	HeartbeatInterval   medlarid.Duration `json:"heartbeat"` // of the replicas' entries, which expire after several of them
	ColdOver            float64           `json:"coldover"`  // factor on a service's cold rate, for the requests of one second at a cold replica; 0 if cold replicas are not protected
	ColdSlack           float64           `json:"coldslack"` // requests added to that
}

// DefaultAttached returns the defaults that a settings file overrides.
func DefaultAttached() Attached {
	return Attached{
		MemoryMB: 256,
		Bounds: Bounds{
			GracePeriod:         seconds(8),
			DeregistrationDelay: medlarid.Duration(2500 * time.Millisecond),
			HandoverDelay:       seconds(3),
			RetryRatio:          0.1,
			OldVersionGrace:     seconds(6),
			SettlingTime:        seconds(3),
			RemovalDelay:        seconds(2),
			HeartbeatInterval:   medlarid.Duration(1200 * time.Millisecond),
		},
		Log: Log{Level: "info"},
	}
}

// ReadAttached reads and validates a settings file. The error has the file, line and column.
func ReadAttached(file string) (Attached, error) {
	doc, err := medlarjson.ReadFile(file)
	if err != nil {
		return Attached{}, err
	}
	s := DefaultAttached()
	if err := doc.Decode(&s); err != nil {
		return Attached{}, err
	}
	if err := verify(doc, s.checks()); err != nil {
		return Attached{}, err
	}
	return s, nil
}

// HasPeers reports whether the instance receives datagrams of other instances.
func (s Attached) HasPeers() bool { return s.Peers != "" && !strings.HasSuffix(string(s.Peers), ":") }

// Rank returns a number derived from the instance's name, by which instances stagger work
// that only one of them needs to do.
func (s Attached) Rank() int { return int(xxh3.HashString(string(s.Name)) >> 1) }

func (s Attached) checks() []check {
	peers := address("/peers", s.Peers)
	peers.ok = peers.ok || !s.HasPeers()
	return []check{
		peers,
		{"/name", namePattern.MatchString(string(s.Name)), wantName},
		{"/zone", namePattern.MatchString(string(s.Zone)), wantName},
		address("/listen", s.Listen),
		address("/status", s.Status),
		address("/store", s.Store),
		intRange("/memory", s.MemoryMB, 32, 1<<20, "32 to 1048576 MB"),
		durationRange("/bounds/grace", s.Bounds.GracePeriod, time.Second, time.Hour),
		durationRange("/bounds/out", s.Bounds.DeregistrationDelay, 0, s.Bounds.GracePeriod.Std()),
		durationRange("/bounds/settle", s.Bounds.HandoverDelay, 100*time.Millisecond, time.Minute),
		durationRange("/bounds/weights", s.Bounds.OldVersionGrace, time.Second, time.Hour),
		durationRange("/bounds/stable", s.Bounds.SettlingTime, 100*time.Millisecond, time.Minute),
		durationRange("/bounds/heartbeat", s.Bounds.HeartbeatInterval, 50*time.Millisecond, time.Minute),
		durationRange("/bounds/return", s.Bounds.RemovalDelay, 0, time.Minute),
		{"/bounds/retries", s.Bounds.RetryRatio >= 0 && s.Bounds.RetryRatio <= 1, "0 to 1 attempts"},
		{"/bounds/coldover", s.Bounds.ColdOver >= 0 && s.Bounds.ColdOver <= maxColdOver, "0 to 1000"},
		{"/bounds/coldslack", s.Bounds.ColdSlack >= 0 && s.Bounds.ColdSlack <= maxColdSlack, "0 to 1000000 requests"},
		{"/log/level", levels[s.Log.Level], "debug, info, warn or error"},
	}
}
