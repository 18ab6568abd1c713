// Package medlarfakereplica is a stand-in of a replica on the users' platform: a
// plain service, or a model engine that answers with event streams, caches parts of
// prompts and changes its weights on order.
//
// Rules:
//
//	R1  A request runs when a slot is free; else the replica refuses it as not run.
//	R2  Each run is noted, with what it ran under.
//	R3  A fault strikes the next requests, as many as were asked for.
package medlarfakereplica

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-json-experiment/json"

	"medlarfield/internal/base/medlarhead"
)

// Fault is a way in which an answer goes wrong.
type Fault string

// Faults.
const (
	FaultShed        Fault = "shed"      // refuses as not run
	FaultFail        Fault = "fail"      // runs and answers 500
	FaultCut         Fault = "cut"       // breaks off in the middle
	FaultLost        Fault = "lost"      // runs and closes the connection
	FaultGarbage     Fault = "garbage"   // sends bytes that are no answer
	FaultForeign     Fault = "foreign"   // first sends an answer to another request
	FaultExtra       Fault = "extra"     // sends bytes after the answer
	FaultUnsigned    Fault = "unsigned"  // leaves the signature out
	FaultWrongID     Fault = "other"     // answers with another request's id only
	FaultEncoded     Fault = "coded"     // sends a coded body
	FaultUnframed    Fault = "unframed"  // sends a body that ends with the connection
	FaultHang        Fault = "hang"      // runs and does not answer for long
	FaultMisdirected Fault = "misplaced" // is not the replica that was asked for
)

// Settings are a replica's properties.
type Settings struct {
	ID, Service, Zone string
	Slots             int
	WorkTime          time.Duration // of a plain request; between events of a stream
	Events            int           // of a stream
	Model             string        // empty for a plain service
	Version           uint64        // of the weights
}

// Run is one request that ran.
type Run struct {
	ID, Method, Target, Body                   string
	Account, Model, Salt, Version, LastEventID string
	KVSource, KVTarget                         string
}

// Replica is a running stand-in.
type Replica struct {
	Settings Settings

	ln      net.Listener
	mu      sync.Mutex
	conns   map[net.Conn]bool
	faults  []Fault
	runs    []Run
	active  int
	leaving bool
	orders  uint64
	loading bool
	version uint64
	changed func() // told when the replica's own entry changes
}

// New starts a replica on a free loopback port. changed is told when its entry does.
func New(s Settings, changed func()) (*Replica, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Replica{Settings: s, ln: ln, conns: map[net.Conn]bool{}, version: s.Version, changed: changed}
	go r.accept()
	return r, nil
}

// Address returns the replica's address.
func (r *Replica) Address() string { return r.ln.Addr().String() }

// Arm makes the next n requests go wrong.
func (r *Replica) Arm(f Fault, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for range n {
		r.faults = append(r.faults, f)
	}
}

// Disarm takes back what was armed and has not struck.
func (r *Replica) Disarm() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = nil
}

// Runs returns what ran so far.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// Active returns the number of requests that run now.
func (r *Replica) Active() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active
}

// Version returns the weight version.
func (r *Replica) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// Leave makes the replica say that it leaves.
func (r *Replica) Leave() {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.changed()
}

// Kill closes the listener and all connections at once.
func (r *Replica) Kill() {
	_ = r.ln.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// entry is what a replica writes of itself.
type entry struct {
	Service, Address, Zone, Version string
	MaxBatchSize                    int
	Phase                           string
	Models                          []model `json:",omitempty"`
	Sequence                        uint64
	Born                            int64 `json:"born"`
}

type model struct {
	Name    string
	Version uint64
}

// Entry returns the replica's entry for the platform's store; seq is its number.
func (r *Replica) Entry(seq uint64) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := entry{
		Service: r.Settings.Service, Address: r.Address(), Zone: r.Settings.Zone, Version: "v1",
		MaxBatchSize: r.Settings.Slots, Phase: "ready", Sequence: seq, Born: 1,
	}
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
		go r.serve(c)
	}
}

// headLimit and bodyLimit bound a request in bytes.
const (
	headLimit = 16 << 10
	bodyLimit = 8 << 20
)

func (r *Replica) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		h, err := medlarhead.ReadRequest(br, headLimit)
		if err != nil {
			return
		}
		body, err := medlarhead.ReadBody(br, h, bodyLimit)
		if err != nil || !r.answer(c, br, h, string(body)) || h.Close {
			return
		}
	}
}

// answer answers one request and reports whether the connection goes on.
func (r *Replica) answer(c net.Conn, br *bufio.Reader, h *medlarhead.Head, body string) bool {
	switch h.Path() {
	case "/-/order":
		return r.order(c, body)
	case "/-/report":
		return r.report(c)
	}
	x := &exchange{replica: r, conn: c, br: br, head: h, body: body, fault: r.takeFault()}
	return x.serve()
}

func (r *Replica) takeFault() Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.faults) == 0 {
		return ""
	}
	f := r.faults[0]
	r.faults = r.faults[1:]
	return f
}

// loadTime is the time that new weights take.
const loadTime = 20 * time.Millisecond

func (r *Replica) order(c net.Conn, body string) bool {
	var in struct {
		Op, Model string
		Version   uint64
		Fence     uint64
		Expect    *uint64
		Holder    string
	}
	if json.Unmarshal([]byte(body), &in) != nil || in.Op != "Version" || in.Holder == "" || in.Fence == 0 {
		return write(c, 400, "", "")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loading || in.Expect != nil && *in.Expect != r.orders {
		return write(c, 409, "", "")
	}
	r.loading = true
	r.orders++
	go func() {
		time.Sleep(loadTime)
		r.mu.Lock()
		r.loading, r.version = false, in.Version
		r.mu.Unlock()
		r.changed()
	}()
	return write(c, 202, "", "")
}

type report struct {
	Stage            string
	Models           []model
	Busy             bool
	Sequence         uint64
	Waiting, Running int
	KvUsed, KvTotal  int
}

func (r *Replica) report(c net.Conn) bool {
	r.mu.Lock()
	out := report{Stage: "colocated", Models: []model{{r.Settings.Model, r.version}}, Busy: r.loading, Sequence: r.orders, Running: r.active}
	r.mu.Unlock()
	b, err := json.Marshal(out)
	return err == nil && write(c, 200, "", string(b))
}

// write writes a whole answer; fields are lines with their ends.
func write(c net.Conn, status int, fields, body string) bool {
	b := medlarhead.AppendStatus(nil, status)
	b = append(b, fields...)
	b = medlarhead.AppendLength(b, len(body))
	b = append(medlarhead.AppendEnd(b), body...)
	_, err := c.Write(b)
	return err == nil
}

// take takes a slot (R1).
func (r *Replica) take() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active >= r.Settings.Slots || r.loading {
		return false
	}
	r.active++
	return true
}

func (r *Replica) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active--
}

func (r *Replica) note(run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
}

func eventText(n int) string {
	return "id: " + strconv.Itoa(n) + "\ndata: " + strings.Repeat("x", 20) + "\n\n"
}
