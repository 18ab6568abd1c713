// Package medlarsite emulates a platform on the loopback interface for attached
// instances: the platform's store, the operator's configuration, and replicas of a
// model engine and of a plain service. It also returns the settings with which
// instances attach to it.
package medlarsite

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/go-json-experiment/json"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/ops/medlarsettings"
	"medlarfield/internal/stand/medlarfakereplica"
	"medlarfield/internal/stand/medlarfaketopic"
	"medlarfield/internal/stand/medlarfault"
	"medlarfield/internal/stand/medlarhost"
	"medlarfield/internal/stand/medlarlink"
)

// Names in the emulated deployment: the routes' host, an API key and its account, the
// model, the services, and the store's topics.
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

// Settings set the size and timing of a site.
type Settings struct {
	Engines           int                         // replicas of the model engine
	Plain             int                         // replicas of the plain service
	Slots             int                         // concurrent requests of each replica
	Events            int                         // events in each stream
	AnswerBytes       int                         // minimum length of the body of a plain response
	ReadDelay         time.Duration               // before a replica of the plain service reads a long body
	ServiceTime       time.Duration               // service time of a plain request, and the interval between two events of a stream
	HeartbeatInterval time.Duration               // heartbeat interval of a replica
	StopDelay         time.Duration               // time for which an instance keeps serving after the signal to stop
	RemovalDelay      time.Duration               // in which removed replicas are listed again after an outage of the store
	RestartDelay      time.Duration               // from the crash of a replica until its successor starts; 0 for never
	KeepID            bool                        // a successor has the id of the replica that crashed
	StaleEntries      bool                        // a successor also has its address, and the entry still names the earlier start
	NextBuild         string                      // software version of the successors of replicas that crash; empty for the same
	Zones             []string                    // availability zones of the engine's replicas in turn; empty for that of the instances
	ColdRate          float64                     // requests per second of a cold replica of the engine, from all instances together; 0 for no bound
	ColdTime          time.Duration               // from the start of a replica that is added, or starts again, for which it is cold
	HideBuilds        int                         // replicas of the engine whose entries do not name their software version
	NameRequests      bool                        // each event of a stream names its request
	HideVersions      bool                        // a refusal for the weight version does not name the one that runs
	Links             bool                        // each instance reaches the replicas over a link of its own, which can be cut
	Wrap              func(net.Conn) net.Conn     // of the connections to replicas; nil for none
	Arrived           func(medlarfakereplica.Run) // is called for each request at a replica; nil for none
	Builds            []string                    // software versions of the engine's replicas in turn; empty for one that events do not name
}

// Default returns the settings of a small site.
func Default() Settings {
	return Settings{Engines: 3, Plain: 2, Slots: 16, Events: 8, ServiceTime: 2 * time.Millisecond, HeartbeatInterval: 300 * time.Millisecond, StopDelay: 50 * time.Millisecond, RemovalDelay: 500 * time.Millisecond}
}

// Site is a running emulated platform.
type Site struct {
	Store   *medlarfaketopic.Store
	Engines []*medlarfakereplica.Replica
	Plain   []*medlarfakereplica.Replica

	settings  Settings
	crasher   crasher
	servers   []*medlarhost.Server
	endpoints []*medlarfaketopic.Endpoint
	stop      chan struct{}
	wg        sync.WaitGroup

	mu                        sync.Mutex
	links                     map[string]*medlarlink.Link // by the name of the instance
	config                    Config
	brittleMost, brittleSlots int // of all replicas; 0 if they are not brittle

	removed map[string]bool // identifiers of replicas whose entries are no longer written
	entries uint64          // number of entries written so far
}

// Config is the operator's configuration in the platform's JSON format.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	Tenants  []Tenant
}

// Route is a route in the configuration.
type Route struct {
	Name, Host, PathPrefix, Type, Service string
	TimeoutMs, TargetLatencyMs, GapAimMs  int
	Priority, MaxAttempts                 int
	Anonymous, Sticky, Resumable          bool
}

// Service is a service in the configuration.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	Engine         *Engine `json:",omitempty"`
	ColdPerS       float64 `json:",omitempty"`
	ColdStartS     float64 `json:",omitempty"`
	*KVStore
}

// KVStore describes a service that is a store of kept context.
type KVStore struct {
	KvStoreAddr, Zone       string
	KvCapacity, MaxInflight int
	Managed                 bool
	LinkMbps                float64
}

// Engine describes the replicas of a service that serves models.
type Engine struct {
	MaxBatchSize, KvCapacity, KvTokenBytes int
	Models                                 []ModelName
}

// ModelName is an element of Engine.Models.
type ModelName struct{ Name string }

// Limits bound the size and timing of the callers' requests.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes, HeaderTimeoutMs, IdleTimeoutMs int
}

// Tenant is a client account with its API keys.
type Tenant struct {
	Name    string
	ApiKeys []string //revive:disable-line:var-naming the JSON name that the platform uses
	// Isolated keeps the account's cached context apart from that of all others.
	Isolated bool
}

// DefaultConfig returns a configuration with a route of each kind: a resumable and a
// non-resumable streaming route, an unsafe route, and a safe route.
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
		Tenants: []Tenant{{Name: Account, ApiKeys: []string{Key}}},
	}
}

// New starts a site with DefaultConfig as the operator's configuration.
func New(cfg Settings) (*Site, error) {
	s := &Site{Store: medlarfaketopic.New(), settings: cfg, stop: make(chan struct{}), links: map[string]*medlarlink.Link{}, removed: map[string]bool{}}
	for i := range cfg.Engines {
		build := ""
		if n := len(cfg.Builds); n > 0 {
			build = cfg.Builds[i%n]
		}
		zone := "a"
		if n := len(cfg.Zones); n > 0 {
			zone = cfg.Zones[i%n]
		}
		if err := s.addReplica(&s.Engines, medlarfakereplica.Settings{
			ID: fmt.Sprintf("engine-%d", i+1), Service: Engines, Zone: zone, Slots: cfg.Slots, WorkTime: cfg.ServiceTime,
			Events: cfg.Events, Model: Model, Version: 1, Build: build, HideBuild: i < cfg.HideBuilds, HideVersion: cfg.HideVersions, NameRequests: cfg.NameRequests, CrashPoint: s.crasher.point, OnCrash: s.replace,
		}); err != nil {
			return nil, err
		}
	}
	for i := range cfg.Plain {
		if err := s.addReplica(&s.Plain, medlarfakereplica.Settings{
			ID: fmt.Sprintf("ledger-%d", i+1), Service: Ledger, Zone: "a", Slots: cfg.Slots, WorkTime: cfg.ServiceTime,
			AnswerBytes: cfg.AnswerBytes, ReadDelay: cfg.ReadDelay,
			CrashPoint: s.crasher.point, OnCrash: s.replace,
		}); err != nil {
			return nil, err
		}
	}
	config := DefaultConfig()
	config.Services[0].ColdPerS, config.Services[0].ColdStartS = cfg.ColdRate, cfg.ColdTime.Seconds()
	if err := s.Configure(config); err != nil {
		return nil, err
	}
	s.wg.Go(s.runHeartbeat)
	return s, nil
}

// addReplica starts a replica, appends it to a list of replicas, and writes its entry.
func (s *Site) addReplica(to *[]*medlarfakereplica.Replica, cfg medlarfakereplica.Settings) error {
	cfg.Wrap, cfg.Arrived = s.settings.Wrap, s.settings.Arrived
	var r *medlarfakereplica.Replica
	ready := make(chan struct{})
	r, err := medlarfakereplica.New(cfg, func() { <-ready; s.writeEntry(r) })
	close(ready)
	if err != nil {
		return err
	}
	s.mu.Lock()
	*to = append(*to, r)
	most, slots := s.brittleMost, s.brittleSlots
	s.mu.Unlock()
	if most > 0 {
		r.BeBrittle(most, slots)
	}
	s.writeEntry(r)
	return nil
}

// writeEntry puts the current entry of a replica in the store, unless the replica was
// removed.
func (s *Site) writeEntry(r *medlarfakereplica.Replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.removed[r.Settings.ID] {
		return
	}
	s.entries++
	if b, err := r.Entry(s.entries); err == nil { // an entry has only plain fields, so encoding it cannot fail
		s.Store.Put(topicRep, r.Settings.ID, b)
	}
}

// runHeartbeat writes the entries of all replicas at every heartbeat, until the site closes.
func (s *Site) runHeartbeat() {
	t := time.NewTicker(s.settings.HeartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-t.C:
			for _, r := range s.Replicas() {
				s.writeEntry(r)
			}
		}
	}
}

// Replicas returns the replicas of the engine and of the plain service.
func (s *Site) Replicas() []*medlarfakereplica.Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(append([]*medlarfakereplica.Replica(nil), s.Engines...), s.Plain...)
}

// Remove deletes the entry of a replica; later heartbeats skip it.
func (s *Site) Remove(r *medlarfakereplica.Replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removed[r.Settings.ID] = true
	s.Store.Put(topicRep, r.Settings.ID, nil)
}

// Configure writes a configuration to the store.
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

// Change applies f to the current configuration and writes the result with a higher
// version.
func (s *Site) Change(f func(*Config)) error {
	s.mu.Lock()
	c := s.config
	s.mu.Unlock()
	c.Version += 3
	f(&c)
	return s.Configure(c)
}

// SetWeightVersion writes the operator's desired weight version of the model.
func (s *Site) SetWeightVersion(version uint64) {
	s.Store.Put(topicOp, "version/"+Model, fmt.Appendf(nil, `{"Model":%q,"Version":%d}`, Model, version))
}

// Evacuate writes the operators' record that evacuates an availability zone, or removes it.
func (s *Site) Evacuate(zone string, active bool) {
	var value []byte
	if active {
		value = []byte("{}")
	}
	s.Store.Put(topicOp, "evacuate/"+zone, value)
}

// InstanceSettings returns the settings with which an instance attaches to the site,
// and the endpoint through which it alone reaches the store: faults set on it affect
// no other instance.
func (s *Site) InstanceSettings(name string) (medlarsettings.Attached, *medlarfaketopic.Endpoint, error) {
	endpoint := s.Store.NewEndpoint()
	s.endpoints = append(s.endpoints, endpoint)
	if s.settings.Links {
		endpoint.SetView(s.linkTo(name))
	}
	server, err := medlarhost.New("store for "+name, "127.0.0.1:0", medlarfault.New(), endpoint.Handle)
	if err != nil {
		return medlarsettings.Attached{}, nil, err
	}
	s.servers = append(s.servers, server)
	out := medlarsettings.Attached{
		Name: medlarid.InstanceID(name), Zone: "a", Listen: "127.0.0.1:0", Status: "127.0.0.1:0", Peers: "127.0.0.1:0", Store: server.Address,
		MemoryMB: 256,
		Bounds: medlarsettings.Bounds{
			GracePeriod: duration(8 * time.Second), DeregistrationDelay: duration(s.settings.StopDelay), HandoverDelay: duration(time.Second), RetryRatio: 0.2,
			OldVersionGrace: duration(6 * time.Second), SettlingTime: duration(3 * time.Second), RemovalDelay: duration(s.settings.RemovalDelay),
			HeartbeatInterval: duration(s.settings.HeartbeatInterval),
		},
		Log: medlarsettings.Log{Level: "info"},
	}
	if s.settings.ColdRate > 0 {
		out.Bounds.ColdOver, out.Bounds.ColdSlack = ColdOver, ColdSlack
	}
	return out, endpoint, nil
}

// The users' bounds on requests at a cold replica in one second: its cold rate times ColdOver, plus ColdSlack.
const (
	ColdOver  = 1.5
	ColdSlack = 5.0
)

// AddCold starts more replicas of the engine, which are cold for Settings.ColdTime.
func (s *Site) AddCold(n int) ([]*medlarfakereplica.Replica, error) {
	var out []*medlarfakereplica.Replica
	for i := range n {
		next := s.EngineReplicas()[0].Settings
		next.ID, next.ColdTime, next.Born = fmt.Sprintf("cold-%d", i+1), s.settings.ColdTime, time.Now().UnixMilli()
		if err := s.addReplica(&s.Engines, next); err != nil {
			return nil, err
		}
		all := s.EngineReplicas()
		out = append(out, all[len(all)-1])
	}
	return out, nil
}

func duration(d time.Duration) medlarid.Duration { return medlarid.Duration(d) }

// Close stops the heartbeats, the replicas and the store's listeners.
func (s *Site) Close() {
	close(s.stop)
	s.wg.Wait()
	for _, r := range s.Replicas() {
		r.Kill()
	}
	for _, server := range s.servers {
		server.Close()
	}
	for _, l := range s.links {
		l.Close()
	}
}

// CurlCommand returns a shell command that sends a prompt to the instance at an address.
func CurlCommand(at string) string {
	return fmt.Sprintf("curl -N -H 'Host: %s' -H 'Api-Key: %s' -H 'Medlarfield-Request-Id: try-1' -H 'Medlarfield-Timeout-Ms: 3000' "+
		"-H 'Medlarfield-Model: %s' -H 'Medlarfield-Token-Usage: 1000,50' -H 'Medlarfield-Prompt-Prefix: aa:100,bb:400,cc:500' -d '{}' http://%s/letter/one",
		Host, Key, Model, at)
}
