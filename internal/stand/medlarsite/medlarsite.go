// Package medlarsite is an emulated platform on loopback: its store, an operator,
// replicas of a model engine and of a plain service, and settings for instances to
// attach to it.
package medlarsite

import (
	"fmt"
	"sync"
	"time"

	"github.com/go-json-experiment/json"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/ops/medlarsettings"
	"medlarfield/internal/stand/medlarfakereplica"
	"medlarfield/internal/stand/medlarfaketopic"
	"medlarfield/internal/stand/medlarfault"
	"medlarfield/internal/stand/medlarhost"
)

// Names of the emulated deployment.
const (
	Host     = "letters.example"
	Key      = "key-one"
	Account  = "acme"
	Model    = "casework"
	Engines  = "engines"
	Ledger   = "ledger"
	topicOp  = "keyed.op"
	topicRep = "keyed.servers"
)

// Settings are the size and speed of a site.
type Settings struct {
	Engines int           // replicas of the model engine
	Plain   int           // replicas of the plain service
	Slots   int           // of each replica
	Events  int           // of a stream
	Work    time.Duration // of a plain request, and between two events
	Beat    time.Duration // between two heartbeats of a replica
	Out     time.Duration // that an instance goes on for after the signal to stop
}

// Default returns the settings of a small site.
func Default() Settings {
	return Settings{Engines: 3, Plain: 2, Slots: 16, Events: 8, Work: 2 * time.Millisecond, Beat: 300 * time.Millisecond, Out: 50 * time.Millisecond}
}

// Site is a running platform.
type Site struct {
	Store   *medlarfaketopic.Store
	Engines []*medlarfakereplica.Replica
	Plain   []*medlarfakereplica.Replica

	settings Settings
	hosts    []*medlarhost.Host
	stop     chan struct{}
	wg       sync.WaitGroup

	mu      sync.Mutex
	config  Config
	silent  map[string]bool // replicas that write no entries
	entries uint64
}

// Config is the operator's configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	Tenants  []Tenant
}

// Route is one route of the configuration.
type Route struct {
	Name, Host, PathPrefix, Type, Service string
	TimeoutMs, TargetLatencyMs, GapAimMs  int
	Priority, MaxAttempts                 int
	Anonymous, Sticky, Resumable          bool
}

// Service is one service of the configuration.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	Engine         *Engine `json:",omitempty"`
}

// Engine is what a service of engines is made of.
type Engine struct {
	MaxBatchSize, KvCapacity, KvTokenBytes int
	Models                                 []ModelName
}

// ModelName names a model.
type ModelName struct{ Name string }

// Limits bound what callers send.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes, HeaderTimeoutMs, IdleTimeoutMs int
}

// Tenant is a client account with its keys.
type Tenant struct {
	Name    string
	ApiKeys []string //revive:disable-line:var-naming the platform's spelling
}

// DefaultConfig returns a configuration with a route of each kind.
func DefaultConfig() Config {
	route := func(name, prefix, kind, service string, attempts int, resumable bool) Route {
		return Route{
			Name: name, Host: Host, PathPrefix: prefix, Type: kind, Service: service, TimeoutMs: 3000,
			TargetLatencyMs: 300, GapAimMs: 300, MaxAttempts: attempts, Resumable: resumable,
		}
	}
	return Config{
		Version: 1,
		Routes: []Route{
			route("letter", "/letter/", "streaming", Engines, 2, true),
			route("query", "/query/", "streaming", Engines, 1, false),
			route("post", "/post/", "unsafe", Ledger, 1, false),
			route("read", "/read/", "safe", Ledger, 2, false),
		},
		Services: []Service{
			{Name: Engines, HealthPath: "/healthz", MaxConnections: 100, Engine: &Engine{
				MaxBatchSize: 16, KvCapacity: 100000, KvTokenBytes: 1000, Models: []ModelName{{Model}},
			}},
			{Name: Ledger, HealthPath: "/healthz", MaxConnections: 100},
		},
		Limits:  Limits{MaxHeaderBytes: 8192, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 500, IdleTimeoutMs: 5000},
		Tenants: []Tenant{{Account, []string{Key}}},
	}
}

// New starts a site with the default configuration.
func New(cfg Settings) (*Site, error) {
	s := &Site{Store: medlarfaketopic.New(), settings: cfg, stop: make(chan struct{}), silent: map[string]bool{}}
	for i := range cfg.Engines {
		if err := s.add(&s.Engines, medlarfakereplica.Settings{
			ID: fmt.Sprintf("engine-%d", i+1), Service: Engines, Zone: "a", Slots: cfg.Slots, Work: cfg.Work,
			Events: cfg.Events, Model: Model, Version: 1,
		}); err != nil {
			return nil, err
		}
	}
	for i := range cfg.Plain {
		if err := s.add(&s.Plain, medlarfakereplica.Settings{
			ID: fmt.Sprintf("ledger-%d", i+1), Service: Ledger, Zone: "a", Slots: cfg.Slots, Work: cfg.Work,
		}); err != nil {
			return nil, err
		}
	}
	if err := s.Configure(DefaultConfig()); err != nil {
		return nil, err
	}
	s.wg.Go(s.beat)
	return s, nil
}

func (s *Site) add(to *[]*medlarfakereplica.Replica, cfg medlarfakereplica.Settings) error {
	var r *medlarfakereplica.Replica
	ready := make(chan struct{})
	r, err := medlarfakereplica.New(cfg, func() { <-ready; s.write(r) })
	close(ready)
	if err != nil {
		return err
	}
	*to = append(*to, r)
	s.write(r)
	return nil
}

// write writes a replica's entry.
func (s *Site) write(r *medlarfakereplica.Replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent[r.Settings.ID] {
		return
	}
	s.entries++
	if b, err := r.Entry(s.entries); err == nil { // of plain fields: it cannot fail
		s.Store.Put(topicRep, r.Settings.ID, b)
	}
}

// beat writes all entries again and again.
func (s *Site) beat() {
	t := time.NewTicker(s.settings.Beat)
	defer t.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-t.C:
			for _, r := range s.Replicas() {
				s.write(r)
			}
		}
	}
}

// Replicas returns all replicas.
func (s *Site) Replicas() []*medlarfakereplica.Replica {
	return append(append([]*medlarfakereplica.Replica(nil), s.Engines...), s.Plain...)
}

// Remove removes a replica's entry for good.
func (s *Site) Remove(r *medlarfakereplica.Replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[r.Settings.ID] = true
	s.Store.Put(topicRep, r.Settings.ID, nil)
}

// Configure writes a configuration.
func (s *Site) Configure(c Config) error {
	b, err := json.Marshal(c)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.config = c
	s.mu.Unlock()
	s.Store.Put(topicOp, "config", b)
	return nil
}

// Change writes the configuration with a change and a higher version.
func (s *Site) Change(f func(*Config)) error {
	s.mu.Lock()
	c := s.config
	s.mu.Unlock()
	c.Version += 3
	f(&c)
	return s.Configure(c)
}

// SetWeightVersion names a weight version of the model.
func (s *Site) SetWeightVersion(version uint64) {
	s.Store.Put(topicOp, "version/"+Model, fmt.Appendf(nil, `{"Model":%q,"Version":%d}`, Model, version))
}

// InstanceSettings returns settings for an instance, and the door of the store that it alone
// uses.
func (s *Site) InstanceSettings(name string) (medlarsettings.Attached, *medlarfaketopic.Door, error) {
	door := s.Store.NewDoor()
	host, err := medlarhost.New("store for "+name, "127.0.0.1:0", medlarfault.New(), door.Handle)
	if err != nil {
		return medlarsettings.Attached{}, nil, err
	}
	s.hosts = append(s.hosts, host)
	return medlarsettings.Attached{
		Name: medlarid.InstanceID(name), Zone: "a", Listen: "127.0.0.1:0", Status: "127.0.0.1:0", Store: host.Address,
		MemoryMB: 256,
		Bounds: medlarsettings.Bounds{
			GracePeriod: span(8 * time.Second), DeregistrationDelay: span(s.settings.Out), HandoverDelay: span(time.Second), RetryRatio: 0.2,
			OldVersionGrace: span(6 * time.Second), RemovalDelay: span(500 * time.Millisecond),
		},
		Log: medlarsettings.Log{Level: "info"},
	}, door, nil
}

func span(d time.Duration) medlarid.Duration { return medlarid.Duration(d) }

// Close stops the site.
func (s *Site) Close() {
	close(s.stop)
	s.wg.Wait()
	for _, r := range s.Replicas() {
		r.Kill()
	}
	for _, h := range s.hosts {
		h.Close()
	}
}

// CurlCommand returns a command that sends a prompt to an instance.
func CurlCommand(at string) string {
	return fmt.Sprintf("curl -N -H 'Host: %s' -H 'Api-Key: %s' -H 'Medlarfield-Request-Id: try-1' -H 'Medlarfield-Timeout-Ms: 3000' "+
		"-H 'Medlarfield-Model: %s' -H 'Medlarfield-Token-Usage: 1000,50' -H 'Medlarfield-Prompt-Prefix: aa:100,bb:400,cc:500' -d '{}' http://%s/letter/one",
		Host, Key, Model, at)
}
