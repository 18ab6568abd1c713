// Package medlarfakereplica implements a fake replica on the users' platform: a
// plain service, or a model engine that responds with event streams, caches parts of
// prompts and changes its weights on order.
//
// Rules:
//
//	R1  A request runs if a slot is free; otherwise the replica rejects it as not
//	    executed.
//	R2  Each run is recorded together with its parameters.
//	R3  A fault affects the next requests, as many as it was armed for.
package medlarfakereplica

import (
	"bufio"
	"cmp"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-json-experiment/json"

	"medlarfield/internal/base/medlarframing"
	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/stand/medlarbrittleness"
	"medlarfield/internal/stand/medlarending"
	"medlarfield/internal/stand/medlarpace"
)

// Fault is a fault in the response to a request.
type Fault string

// Faults of a response.
const (
	FaultShed        Fault = "shed"      // rejects the request as not executed
	FaultFail        Fault = "fail"      // runs and responds with 500
	FaultCut         Fault = "cut"       // breaks the response off in the middle
	FaultLost        Fault = "lost"      // runs and closes the connection without a response
	FaultGarbage     Fault = "garbage"   // sends bytes that are not a response
	FaultForeign     Fault = "foreign"   // first sends a response to another request
	FaultExtra       Fault = "extra"     // sends bytes after the response
	FaultUnsigned    Fault = "unsigned"  // omits the signature
	FaultWrongID     Fault = "other"     // responds with the id of another request only
	FaultEncoded     Fault = "coded"     // declares a content coding of the body
	FaultUnframed    Fault = "unframed"  // sends a body that is delimited by the end of the connection
	FaultClosed      Fault = "closed"    // as FaultUnframed, and closes the connection in the middle of the body
	FaultReset       Fault = "reset"     // as FaultUnframed, and resets the connection in the middle of the body
	FaultEmpty       Fault = "empty"     // as FaultUnframed, and closes the connection before the first byte of the body
	FaultShort       Fault = "short"     // ends the framing of a stream within an event
	FaultDocument    Fault = "document"  // responds to a streaming request with a document of another type
	FaultPause       Fault = "pause"     // rejects the request as not executed and asks for a pause of PauseSeconds
	FaultHang        Fault = "hang"      // runs and does not respond for hangDelay
	FaultMisdirected Fault = "misplaced" // responds with 421 as if it were another replica
)

// PauseSeconds is the pause that FaultPause asks for, in seconds.
const PauseSeconds = "1.5"

// Settings holds the properties of a replica.
type Settings struct {
	ID, Service, Zone string
	Slots             int
	WorkTime          time.Duration           // duration of a plain request, or interval between the events of a stream
	Events            int                     // number of events in a stream
	AnswerBytes       int                     // minimum length of the body of a plain response
	ReadDelay         time.Duration           // before the replica reads a body of more than longBody bytes
	Model             string                  // empty for a plain service
	Version           uint64                  // initial weight version
	Build             string                  // version of the software; each event of a stream names it unless it is empty
	ColdTime          time.Duration           // from the start, for which the replica is cold
	HideBuild         bool                    // the entry does not name Build
	NameRequests      bool                    // each event of a stream names its request
	HideVersion       bool                    // a refusal for the weight version does not name the one that runs
	Born              int64                   // start of the replica; a later one with the same ID has a higher value
	Listen            string                  // address to listen on; empty for a free loopback port
	Wrap              func(net.Conn) net.Conn // of the connections that are accepted; nil for none
	Arrived           func(Run)               // is called for each request, run or rejected; nil for none
	// CrashPoint returns where the replica crashes as it answers a request; nil for never.
	// OnCrash is called at each crash.
	CrashPoint func(Run) CrashPoint
	OnCrash    func(*Replica)
}

// wrap returns a connection as Wrap does.
func (s *Settings) wrap(c net.Conn) net.Conn {
	if s.Wrap == nil {
		return c
	}
	return s.Wrap(c)
}

// CrashPoint is a point of an answer at which a replica crashes.
type CrashPoint string

// Crash points.
const (
	CrashNowhere  CrashPoint = ""
	CrashRunning  CrashPoint = "running"  // before the first byte of the response
	CrashInHead   CrashPoint = "head"     // within the head, before the signature
	CrashUnsigned CrashPoint = "unsigned" // after a head without a signature
	CrashBegun    CrashPoint = "begun"    // after the head, before the body
	CrashUnframed CrashPoint = "unframed" // after the first event of a stream that the end of the connection delimits
)

// Run is the record of a request that ran (R2). Timeout is the time that it has left, as its header field states it, Remote the
// address from which it came, Local that to which, and Fault the Fault of its response.
type Run struct {
	ID, Method, Target, Body, Remote, Local, Fault string
	Account, Model, Salt, Version, LastEventID     string
	KVSource, KVTarget, Replica, Timeout           string
	Parts                                          []string // ids of the prompt's parts
}

// Replica is a running fake replica.
type Replica struct {
	Settings Settings
	Pace     medlarpace.Pace // has the faults that are armed, too

	ln       net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	runs     []Run
	active   int
	leaving  bool
	notice   bool     // responses say that the replica leaves
	limits   []string // limits that responses name
	arrivals []time.Time
	crashed  atomic.Bool
	coldEnd  time.Time // until when the replica is cold
	brittle  medlarbrittleness.State
	endings  atomic.Pointer[medlarending.Queue]
	endless  atomic.Int64 // bytes that faults without end have sent
	orders   uint64
	loading  bool
	idle     bool // orders are accepted and not carried out
	version  uint64
	changed  func() // called when the replica's own entry changes
}

// New starts a replica. It calls changed whenever the
// replica's entry changes.
func New(s Settings, changed func()) (*Replica, error) {
	ln, err := net.Listen("tcp", cmp.Or(s.Listen, "127.0.0.1:0"))
	if err != nil {
		return nil, err
	}
	r := &Replica{Settings: s, ln: ln, conns: map[net.Conn]bool{}, version: s.Version, changed: changed}
	r.Settings.Born = max(s.Born, 1)
	if s.ColdTime > 0 {
		r.coldEnd = time.Now().Add(s.ColdTime)
	}
	r.ShareEndings(&medlarending.Queue{})
	go r.accept()
	return r, nil
}

// Address returns the replica's address.
func (r *Replica) Address() string { return r.ln.Addr().String() }

// Arm injects a fault into the next n requests (R3).
func (r *Replica) Arm(f Fault, n int) { r.Pace.Arm(string(f), n) }

// ArmEnding makes the next request get a response that ends in a certain way.
func (r *Replica) ArmEnding(e medlarending.Ending) { r.endings.Load().Arm(e) }

// ShareEndings makes the replica take the endings of its responses from a queue that other replicas may share.
func (r *Replica) ShareEndings(q *medlarending.Queue) { r.endings.Store(q) }

// IgnoreOrders makes the replica accept orders and not carry them out.
func (r *Replica) IgnoreOrders() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.idle = true
}

// Disarm removes the armed faults that have not been injected yet, and lets the replica keep its usual pace.
func (r *Replica) Disarm() { r.Pace.Reset() }

// Runs returns the requests that ran.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.runs)
}

// Active returns the number of requests in progress.
func (r *Replica) Active() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active
}

// EndlessBytes returns how many bytes the faults without end have sent.
func (r *Replica) EndlessBytes() int { return int(r.endless.Load()) }

// Version returns the current weight version.
func (r *Replica) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// Leave marks the replica as draining in its entry and calls changed.
func (r *Replica) Leave() {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.changed()
}

// Leaving reports whether the replica is marked as draining.
func (r *Replica) Leaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving
}

// AnnounceLeaving makes all responses state that the replica leaves. Its entry does not.
func (r *Replica) AnnounceLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notice = true
}

// NameLimits makes all responses name limits of requests a second, one in each value; none ends that.
func (r *Replica) NameLimits(values ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits = values
}

// BeBrittle makes the replica state that it is brittle: medlarbrittleness.Delay later it serves slots requests at once and
// crashes when it has to turn away more than most in a second. With most 0 it is no longer brittle.
func (r *Replica) BeBrittle(most, slots int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.brittle = medlarbrittleness.New(most, slots)
}

// turnAway counts a request that is turned away for lack of room, and crashes the replica after too many.
func (r *Replica) turnAway() {
	now := time.Now()
	r.mu.Lock()
	crashes := r.brittle.TurnAway(now)
	r.mu.Unlock()
	if crashes {
		r.Crash()
	}
}

// hintFields returns the header fields by which a response states that the replica leaves, and
// what limit it has.
func (r *Replica) hintFields() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.brittle.Field()
	if r.notice {
		f = "Server-Leaving: 1\r\n"
	}
	for _, v := range r.limits {
		f += "Server-Limit: " + v + "\r\n"
	}
	return f
}

// Arrivals returns the times at which requests have reached the replica, other than control
// calls.
func (r *Replica) Arrivals() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.arrivals)
}

// recordArrival records that a request has reached the replica.
func (r *Replica) recordArrival() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, time.Now())
}

// MostArrivals returns the most requests that have reached the replica in any window of a length between two times.
func (r *Replica) MostArrivals(window time.Duration, from, to time.Time) int {
	most := 0
	var in []time.Time
	for _, at := range r.Arrivals() {
		if at.Before(from) || at.After(to) {
			continue
		}
		in = append(in, at)
		for at.Sub(in[0]) > window {
			in = in[1:]
		}
		most = max(most, len(in))
	}
	return most
}

// ColdUntil returns until when the replica is cold.
func (r *Replica) ColdUntil() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.coldEnd
}

// BecomeCold makes the replica cold from now on for a time, and calls changed.
func (r *Replica) BecomeCold(d time.Duration) {
	r.mu.Lock()
	r.coldEnd = time.Now().Add(d)
	r.mu.Unlock()
	r.changed()
}

// Kill closes the listener and all connections immediately.
func (r *Replica) Kill() {
	_ = r.ln.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// Crash calls OnCrash and kills the replica.
func (r *Replica) Crash() {
	if r.crashed.CompareAndSwap(false, true) && r.Settings.OnCrash != nil {
		r.Settings.OnCrash(r) // before anybody can notice the crash
	}
	r.Kill()
}

// entry is the record that a replica publishes about itself.
type entry struct {
	Service, Address, Zone string
	Version                string `json:",omitempty"` // of the software
	MaxBatchSize           int
	Phase                  string
	Models                 []model `json:",omitempty"`
	Sequence               uint64
	Born                   int64 `json:"born"`
	ColdRemainingMs        int64 `json:",omitempty"`
}

type model struct {
	Name    string
	Version uint64
}

// Entry returns the replica's entry for the platform's store, with seq as its
// sequence number.
func (r *Replica) Entry(seq uint64) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := entry{
		Service: r.Settings.Service, Address: r.Address(), Zone: r.Settings.Zone, Version: cmp.Or(r.Settings.Build, "v1"),
		MaxBatchSize: r.Settings.Slots, Phase: "ready", Sequence: seq, Born: r.Settings.Born,
	}
	if r.Settings.HideBuild {
		e.Version = ""
	}
	e.ColdRemainingMs = max(time.Until(r.coldEnd), 0).Milliseconds()
	if r.leaving {
		e.Phase = "draining"
	}
	if r.Settings.Model != "" {
		e.Models = []model{{r.Settings.Model, r.version}}
	}
	return json.Marshal(e)
}

func (r *Replica) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go func() {
			r.serve(r.Settings.wrap(c))
			_ = c.Close()
			r.mu.Lock()
			defer r.mu.Unlock()
			delete(r.conns, c)
		}()
	}
}

// headLimit and bodyLimit are the maximum sizes of a request's head and body in
// bytes.
const (
	headLimit = 16 << 10
	bodyLimit = 8 << 20
)

// longBody is the length above which a body is read after Settings.ReadDelay, in bytes. Buffers of sockets take shorter
// ones in any case.
const longBody = 64 << 10

func (r *Replica) serve(c net.Conn) {
	br := bufio.NewReader(c)
	for {
		h, err := medlarhead.ReadRequest(br, headLimit)
		if err != nil {
			return
		}
		if r.respondEarly(c, br, h) {
			return
		}
		if h.Length > longBody {
			time.Sleep(r.Settings.ReadDelay)
		}
		body, err := medlarframing.ReadBody(br, h, bodyLimit)
		r.Pace.Wait()
		if err != nil || !r.serveRequest(c, br, h, string(body)) || h.Close {
			return
		}
	}
}

// serveRequest serves one request and reports whether the connection can be reused.
func (r *Replica) serveRequest(c net.Conn, br *bufio.Reader, h *medlarhead.Head, body string) bool {
	switch h.Path() {
	case "/-/order":
		return r.serveOrder(c, body)
	case "/-/report":
		return r.serveReport(c)
	}
	r.recordArrival()
	x := &exchange{replica: r, conn: c, br: br, head: h, body: body, fault: Fault(r.Pace.Next())}
	return x.serve()
}

// loadTime is the time that it takes to load new weights.
const loadTime = 20 * time.Millisecond

func (r *Replica) serveOrder(c net.Conn, body string) bool {
	var in struct {
		Op, Model string
		Version   uint64
		Fence     uint64
		Expect    *uint64
		Holder    string
	}
	if json.Unmarshal([]byte(body), &in) != nil || in.Op != "Version" || in.Holder == "" || in.Fence == 0 {
		return writeResponse(c, 400, "", "")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loading || in.Expect != nil && *in.Expect != r.orders {
		return writeResponse(c, 409, "", "")
	}
	r.orders++
	if r.idle {
		return writeResponse(c, 202, "", "")
	}
	r.loading = true
	go func() {
		time.Sleep(loadTime)
		r.mu.Lock()
		r.loading, r.version = false, in.Version
		r.mu.Unlock()
		r.changed()
	}()
	return writeResponse(c, 202, "", "")
}

type report struct {
	Stage            string
	Models           []model
	Busy             bool
	Sequence         uint64
	Waiting, Running int
	KvUsed, KvTotal  int
}

func (r *Replica) serveReport(c net.Conn) bool {
	r.mu.Lock()
	out := report{Stage: "colocated", Models: []model{{r.Settings.Model, r.version}}, Busy: r.loading, Sequence: r.orders, Running: r.active}
	r.mu.Unlock()
	b, err := json.Marshal(out)
	return err == nil && writeResponse(c, 200, r.hintFields(), string(b))
}

// writeResponse writes a complete response and reports whether the write succeeded.
// The lines of fields include their line ends.
func writeResponse(c net.Conn, status int, fields, body string) bool {
	b := medlarhead.AppendStatus(nil, status)
	b = append(b, fields...)
	b = medlarhead.AppendLength(b, len(body))
	b = append(medlarhead.AppendEnd(b), body...)
	_, err := c.Write(b)
	return err == nil
}

// acquireSlot acquires a slot if one is free and no weights are loading (R1).
func (r *Replica) acquireSlot() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active >= r.brittle.Slots(r.Settings.Slots) || r.loading {
		return false
	}
	r.active++
	return true
}

func (r *Replica) releaseSlot() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active--
}

func (r *Replica) recordRun(record Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, record)
}
