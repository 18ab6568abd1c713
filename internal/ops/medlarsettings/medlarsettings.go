// Package medlarsettings reads and validates the settings files of entry instances.
package medlarsettings

import (
	"net/netip"
	"regexp"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarjson"
	"medlarfield/internal/core/medlarkind"
)

// Settings are the settings of an entry instance that medlard serve runs.
type Settings struct {
	// Name is the instance's name in the instance list.
	Name medlarid.InstanceID `json:"name"`
	Zone medlarid.Zone       `json:"zone"`
	// Listen is the address that serves callers; Status serves metrics and health checks.
	Listen      medlarid.Address `json:"listen"`
	Status      medlarid.Address `json:"status"`
	Platform    Platform         `json:"platform"`
	Limits      Limits           `json:"limits"`
	Routing     Routing          `json:"routing"`
	Idempotency Idempotency      `json:"once"`
	Peers       Peers            `json:"peers"`
	Log         Log              `json:"log"`
}

// Platform has the addresses of the platform's services, and how they are called.
type Platform struct {
	Log       medlarid.Address `json:"log"`
	Instances medlarid.Address `json:"instances"`
	Weights   medlarid.Address `json:"weights"`
	// Timeout is the time limit of short calls to the platform and to upstreams.
	Timeout medlarid.Duration `json:"timeout"`
	// PollInterval is the time between two reads of the instance list and of
	// each engine's status.
	PollInterval medlarid.Duration `json:"poll"`
	// MaxCallsPerSecond limits the calls per second for the engines' status and cache events.
	MaxCallsPerSecond float64 `json:"calls"`
}

// Limits bounds what callers may send, and how long requests and connections may take.
type Limits struct {
	MaxBodyBytes     int               `json:"body"`     // bytes
	MaxHeaderBytes   int               `json:"header"`   // bytes
	ReadTimeout      medlarid.Duration `json:"read"`     // for a caller to send a request
	IdleTimeout      medlarid.Duration `json:"idle"`     // between two requests on a connection
	WriteTimeout     medlarid.Duration `json:"stall"`    // for a caller that does not read its response
	DefaultDeadline  medlarid.Duration `json:"deadline"` // of requests whose plan sets none
	DefaultMaxTokens medlarid.Tokens   `json:"tokens"`   // of responses whose plan sets none
	MaxQueued        int               `json:"queue"`    // requests that wait for an upstream
	MaxWait          medlarid.Duration `json:"wait"`     // longest time in the queue for an upstream
	DrainTimeout     medlarid.Duration `json:"drain"`    // longest graceful stop
}

// Routing has the settings for the choice of upstreams.
type Routing struct {
	Weighting           medlarkind.Weighting `json:"weighting"`
	MaxAttempts         int                  `json:"attempts"`
	Contexts            bool                 `json:"contexts"` // offload context to KV stores
	UpstreamIdleTimeout medlarid.Duration    `json:"quiet"`    // for an upstream that sends nothing
}

// Idempotency has the bounds of idempotency keys. They must be equal on all instances.
type Idempotency struct {
	Validity  medlarid.Duration `json:"validity"`
	ClockSkew medlarid.Duration `json:"skew"`
}

// Peers has the settings for sessions between entry instances. Without them an instance
// reads the log by itself and uses an equal share of each limit. The DNS name in the
// certificate is the instance's name.
type Peers struct {
	Listen          medlarid.Address `json:"listen"`
	CertificateFile string           `json:"certificate"` // file in PEM
	KeyFile         string           `json:"key"`         // file in PEM
	CAFile          string           `json:"authority"`   // file in PEM
}

// Enabled reports whether the instance has peers.
func (p Peers) Enabled() bool { return p != Peers{} }

func (p Peers) checks() []check {
	if !p.Enabled() {
		return nil
	}
	const want = "the name of a file in PEM"
	return []check{
		address("/peers/listen", p.Listen),
		{"/peers/certificate", p.CertificateFile != "", want},
		{"/peers/key", p.KeyFile != "", want},
		{"/peers/authority", p.CAFile != "", want},
	}
}

// Log has the settings of the instance's own log output.
type Log struct {
	Level string `json:"level"`
}

// Default returns the defaults that a settings file overrides.
func Default() Settings {
	return Settings{
		Platform: Platform{Timeout: seconds(2), PollInterval: medlarid.Duration(250 * time.Millisecond), MaxCallsPerSecond: 16},
		Limits: Limits{
			MaxBodyBytes:     4 << 20,
			MaxHeaderBytes:   16 << 10,
			ReadTimeout:      seconds(10),
			IdleTimeout:      seconds(60),
			WriteTimeout:     seconds(15),
			DefaultDeadline:  seconds(120),
			DefaultMaxTokens: 4096,
			MaxQueued:        1024,
			MaxWait:          seconds(15),
			DrainTimeout:     seconds(60),
		},
		Routing:     Routing{Weighting: medlarkind.WeightingTTFT, MaxAttempts: 3, Contexts: true, UpstreamIdleTimeout: seconds(30)},
		Idempotency: Idempotency{Validity: seconds(15 * 60), ClockSkew: seconds(60)},
		Log:         Log{Level: "info"},
	}
}

func seconds(n int) medlarid.Duration { return medlarid.Duration(time.Duration(n) * time.Second) }

// Read reads and validates a settings file. The error has the file, line and column.
func Read(file string) (Settings, error) {
	doc, err := medlarjson.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	return FromDocument(doc)
}

// FromDocument decodes and validates a parsed document.
func FromDocument(doc *medlarjson.Document) (Settings, error) {
	s := Default()
	if err := doc.Decode(&s); err != nil {
		return Settings{}, err
	}
	if err := verify(doc, s.checks()); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// verify returns an error for the first check that fails.
func verify(doc *medlarjson.Document, checks []check) error {
	for _, c := range checks {
		if !c.ok {
			return doc.Errorf(c.pointer, "field %q: want %s", c.pointer[1:], c.want)
		}
	}
	return nil
}

// check is a condition on the field at a JSON pointer.
type check struct {
	pointer string
	ok      bool
	want    string
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

const wantName = "1 to 64 letters, digits, dots, dashes or underscores"

func (s Settings) checks() []check {
	checks := []check{
		{"/name", namePattern.MatchString(string(s.Name)), wantName},
		{"/zone", namePattern.MatchString(string(s.Zone)), wantName},
		address("/listen", s.Listen),
		address("/status", s.Status),
		address("/platform/log", s.Platform.Log),
		address("/platform/instances", s.Platform.Instances),
		address("/platform/weights", s.Platform.Weights),
		durationRange("/platform/timeout", s.Platform.Timeout, 10*time.Millisecond, time.Minute),
		durationRange("/platform/poll", s.Platform.PollInterval, 10*time.Millisecond, 10*time.Second),
		{"/platform/calls", s.Platform.MaxCallsPerSecond >= 0.1 && s.Platform.MaxCallsPerSecond <= 1e4, "0.1 to 10000 calls a second"},
		durationRange("/once/validity", s.Idempotency.Validity, time.Second, 24*time.Hour),
		durationRange("/once/skew", s.Idempotency.ClockSkew, time.Second, time.Hour),
		{"/log/level", levels[s.Log.Level], "debug, info, warn or error"},
	}
	checks = append(checks, s.Limits.checks()...)
	checks = append(checks, s.Peers.checks()...)
	return append(checks, s.Routing.checks()...)
}

var levels = map[string]bool{"debug": true, "info": true, "warn": true, "error": true}

func (l Limits) checks() []check {
	return []check{
		intRange("/limits/body", l.MaxBodyBytes, 1<<10, 64<<20, "1024 to 67108864 bytes"),
		intRange("/limits/header", l.MaxHeaderBytes, 1<<10, 1<<20, "1024 to 1048576 bytes"),
		durationRange("/limits/read", l.ReadTimeout, 100*time.Millisecond, time.Hour),
		durationRange("/limits/idle", l.IdleTimeout, 100*time.Millisecond, time.Hour),
		durationRange("/limits/stall", l.WriteTimeout, 100*time.Millisecond, time.Hour),
		durationRange("/limits/deadline", l.DefaultDeadline, 100*time.Millisecond, 24*time.Hour),
		intRange("/limits/tokens", int(l.DefaultMaxTokens), 1, 1<<20, "1 to 1048576 tokens"),
		intRange("/limits/queue", l.MaxQueued, 1, 1<<20, "1 to 1048576 requests"),
		durationRange("/limits/wait", l.MaxWait, 10*time.Millisecond, time.Hour),
		durationRange("/limits/drain", l.DrainTimeout, 0, time.Hour),
	}
}

func (r Routing) checks() []check {
	known := r.Weighting == medlarkind.WeightingTTFT || r.Weighting == medlarkind.WeightingRecompute
	return []check{
		{"/routing/weighting", known, `"first" or "share"`},
		intRange("/routing/attempts", r.MaxAttempts, 1, 10, "1 to 10 attempts"),
		durationRange("/routing/quiet", r.UpstreamIdleTimeout, 100*time.Millisecond, time.Hour),
	}
}

func address(pointer string, a medlarid.Address) check {
	ap, err := netip.ParseAddrPort(string(a))
	return check{pointer, err == nil && ap.IsValid(), `an IP number and port, such as "127.0.0.1:8080"`}
}

func durationRange(pointer string, d medlarid.Duration, low, high time.Duration) check {
	return check{pointer, d.Std() >= low && d.Std() <= high, "a duration from " + low.String() + " to " + high.String()}
}

func intRange(pointer string, n, low, high int, want string) check {
	return check{pointer, n >= low && n <= high, want}
}
