// Package medlartestbed runs fakes of a whole platform in one process: the log service,
// the instance list, the weight store, engines, stores and plain services. It also
// starts entry instances that use them.
package medlartestbed

import (
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/stand/medlarfakeengine"
	"medlarfield/internal/stand/medlarfakelog"
	"medlarfield/internal/stand/medlarfakeplatform"
	"medlarfield/internal/stand/medlarfakeservice"
	"medlarfield/internal/stand/medlarfakestore"
	"medlarfield/internal/stand/medlarfault"
	"medlarfield/internal/stand/medlarhost"
	"medlarfield/internal/upstream/medlarinstance"
	"medlarfield/internal/upstream/medlarweight"
)

// Settings set the size and timing of the platform.
type Settings struct {
	IP        string // address on which all parts listen
	BasePort  int    // first port; with 0 each part takes a free port
	Zones     []medlarid.Zone
	Engines   int
	Stores    int
	Services  int
	Service   medlarid.ServiceID
	Speed     float64       // divides all times of engines and stores
	ListDelay time.Duration // delay of changes to the instance list
	Log       medlarfakelog.Settings
	// Engine and Store, if set, change the settings of each engine and each store.
	Engine func(*medlarfakeengine.Settings)
	Store  func(*medlarfakestore.Settings)
}

// Default returns the settings of a small platform in three availability zones.
func Default() Settings {
	return Settings{
		IP:        "127.0.0.1",
		Zones:     []medlarid.Zone{"muc", "nue", "agb"},
		Engines:   4,
		Stores:    2,
		Services:  2,
		Service:   "ledger",
		Speed:     1,
		ListDelay: 200 * time.Millisecond,
	}
}

// EnginePart is a running fake engine.
type EnginePart struct {
	*medlarfakeengine.Engine

	Server *medlarhost.Server
}

// StorePart is a running fake store.
type StorePart struct {
	*medlarfakestore.Store

	Server *medlarhost.Server
}

// ServicePart is a running fake of a plain service.
type ServicePart struct {
	*medlarfakeservice.Service

	Server *medlarhost.Server
}

// Testbed is a running platform.
type Testbed struct {
	cfg      Settings
	Injector *medlarfault.Injector
	Log      *medlarfakelog.Log
	List     *medlarfakeplatform.List

	LogServer     *medlarhost.Server
	ListServer    *medlarhost.Server
	WeightsServer *medlarhost.Server
	Control       *medlarhost.Server

	mu       sync.Mutex
	Engines  []EnginePart
	Stores   []StorePart
	Services []ServicePart
	ports    int
}

// New starts a platform.
func New(cfg Settings) (*Testbed, error) {
	s := &Testbed{
		cfg:      cfg,
		Injector: medlarfault.New(),
		Log:      medlarfakelog.New(cfg.Log),
		List:     medlarfakeplatform.NewList(cfg.ListDelay),
	}
	weights := medlarfakeplatform.NewWeights(50,
		medlarweight.Weights{Model: "casework", Version: "v1", Bytes: 16 << 30},
		medlarweight.Weights{Model: "casework", Version: "v2", Bytes: 16 << 30},
	)
	var err error
	if s.LogServer, err = s.newServer("log", s.Log.Handler()); err != nil {
		return nil, err
	}
	if s.ListServer, err = s.newServer("instances", s.List.Handler()); err != nil {
		return nil, err
	}
	if s.WeightsServer, err = s.newServer("weights", weights.Handler()); err != nil {
		return nil, err
	}
	if s.Control, err = s.newServer("control", s.controlHandler()); err != nil {
		return nil, err
	}
	return s, s.addParts()
}

func (s *Testbed) addParts() error {
	for range s.cfg.Engines {
		if _, err := s.AddEngine(); err != nil {
			return err
		}
	}
	for i := range s.cfg.Stores {
		if err := s.addStore(i); err != nil {
			return err
		}
	}
	for i := range s.cfg.Services {
		if err := s.addService(i); err != nil {
			return err
		}
	}
	return nil
}

// newServer starts the listener of a part on the next port.
func (s *Testbed) newServer(part string, h fasthttp.RequestHandler) (*medlarhost.Server, error) {
	port := 0
	if s.cfg.BasePort != 0 {
		port = s.cfg.BasePort + s.ports
	}
	s.ports++
	return medlarhost.New(part, fmt.Sprintf("%s:%d", s.cfg.IP, port), s.Injector, h)
}

// AddEngine starts an engine and adds it to the instance list.
func (s *Testbed) AddEngine() (EnginePart, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.Engines)
	name := fmt.Sprintf("engine-%d", n+1)
	cfg := medlarfakeengine.Defaults(name)
	cfg.Speed = s.cfg.Speed
	if s.cfg.Engine != nil {
		s.cfg.Engine(&cfg)
	}
	e := medlarfakeengine.New(cfg, s.Injector)
	server, err := s.newServer(name, e.Handler())
	if err != nil {
		return EnginePart{}, err
	}
	part := EnginePart{Engine: e, Server: server}
	s.Engines = append(s.Engines, part)
	s.List.Put(medlarinstance.Instance{
		ID:            medlarid.InstanceID(name),
		Role:          medlarinstance.RoleEngine,
		Zone:          s.zone(n),
		Address:       server.Address,
		Model:         cfg.Model,
		ChecksFencing: cfg.Fenced,
	})
	return part, nil
}

func (s *Testbed) addStore(n int) error {
	name := fmt.Sprintf("store-%d", n+1)
	cfg := medlarfakestore.Defaults(name)
	cfg.Speed = s.cfg.Speed
	if s.cfg.Store != nil {
		s.cfg.Store(&cfg)
	}
	st := medlarfakestore.New(cfg, s.Injector)
	server, err := s.newServer(name, st.Handler())
	if err != nil {
		return err
	}
	s.Stores = append(s.Stores, StorePart{Store: st, Server: server})
	s.List.Put(medlarinstance.Instance{
		ID: medlarid.InstanceID(name), Role: medlarinstance.RoleStore, Zone: s.zone(n), Address: server.Address,
	})
	return nil
}

func (s *Testbed) addService(n int) error {
	name := fmt.Sprintf("%s-%d", s.cfg.Service, n+1)
	sv := medlarfakeservice.New(name)
	server, err := s.newServer(name, sv.Handler())
	if err != nil {
		return err
	}
	s.Services = append(s.Services, ServicePart{Service: sv, Server: server})
	s.List.Put(medlarinstance.Instance{
		ID:      medlarid.InstanceID(name),
		Role:    medlarinstance.RoleService,
		Zone:    s.zone(n),
		Address: server.Address,
		Service: s.cfg.Service,
	})
	return nil
}

func (s *Testbed) zone(n int) medlarid.Zone { return s.cfg.Zones[n%len(s.cfg.Zones)] }

// Evict empties the prefix cache of every engine.
func (s *Testbed) Evict() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.Engines {
		e.Evict()
	}
}

// Kill ends a part at once, as if its instance had failed. The part stays in the
// instance list.
func (s *Testbed) Kill(part string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers() {
		if server.Part == part {
			return server.Kill()
		}
	}
	return eris.Errorf("unknown part %q", part)
}

// Close stops all parts.
func (s *Testbed) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers() {
		server.Close()
	}
}

func (s *Testbed) servers() []*medlarhost.Server {
	all := []*medlarhost.Server{s.LogServer, s.ListServer, s.WeightsServer, s.Control}
	for _, e := range s.Engines {
		all = append(all, e.Server)
	}
	for _, st := range s.Stores {
		all = append(all, st.Server)
	}
	for _, sv := range s.Services {
		all = append(all, sv.Server)
	}
	return all
}

// Runs returns how often engines and services ran each request, by request identifier.
func (s *Testbed) Runs() map[medlarid.RequestID]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[medlarid.RequestID]int{}
	for _, e := range s.Engines {
		for id, n := range e.Counts() {
			out[id] += n
		}
	}
	for _, sv := range s.Services {
		for id, n := range sv.Counts() {
			out[id] += n
		}
	}
	return out
}

// Bodies returns how often the services executed a request with each body.
func (s *Testbed) Bodies() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for _, sv := range s.Services {
		for body, n := range sv.Bodies() {
			out[body] += n
		}
	}
	return out
}
