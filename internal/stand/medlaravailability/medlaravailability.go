// Package medlaravailability sends requests at a constant rate to attached instances and records
// over time which are served and which instances are ready.
//
// Rules:
//
//	R1  Requests start at fixed intervals, whether earlier ones were answered or not.
//	R2  Each request is tried once. It is served if it is answered with 200 and, on a streaming
//	    route, with the last event.
//	R3  A request that has no answer within the timeout is not served.
package medlaravailability

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/stand/medlarsite"
)

// Intervals and timeouts.
const (
	binWidth       = 250 * time.Millisecond
	requestTimeout = 3 * time.Second
	probeInterval  = 50 * time.Millisecond
	probeTimeout   = 300 * time.Millisecond
	maxConns       = 4096 // to one instance
)

// Instance is an instance that gets requests.
type Instance struct {
	Name            medlarid.InstanceID
	Address, Status medlarid.Address
}

// Settings describe the load.
type Settings struct {
	Instances []Instance
	Rate      float64       // requests a second
	Duration  time.Duration // no request starts after it
	LastEvent string        // text in the last event of a complete stream
	Parts     int           // number of different shared parts of prompts
	Seed      uint64
	// SameBody gives all prompts of a route the same path, account and body, as if a caller repeated them.
	SameBody bool
}

// bin counts the requests that started within one interval of binWidth.
type bin struct {
	sent, served int
	failed       map[string]int // by the status, or the kind of failure
}

// Monitor is a running load.
type Monitor struct {
	cfg    Settings
	client *fasthttp.Client
	begin  time.Time

	mu   sync.Mutex
	bins map[int]*bin
	rand *rand.Rand
	w    io.Writer
}

// Run sends requests until the duration is over. While it runs, it writes to w each change of an
// instance's readiness, and then one line for each interval:
// the time of day in Unix ms, the requests sent and served, and the failures by kind.
func Run(s Settings, w io.Writer) {
	m := &Monitor{
		cfg: s, client: newClient(), begin: time.Now(), bins: map[int]*bin{},
		rand: rand.New(rand.NewPCG(s.Seed, 1)), w: w,
	}
	stop := make(chan struct{})
	var probes, requests sync.WaitGroup
	for _, i := range s.Instances {
		probes.Go(func() { m.watch(i, stop) })
	}
	interval := time.Duration(float64(time.Second) / s.Rate)
	for n := 0; time.Duration(n)*interval < s.Duration; n++ {
		time.Sleep(time.Until(m.begin.Add(time.Duration(n) * interval))) // R1
		r, streaming := m.request(n)
		at := int(time.Since(m.begin) / binWidth)
		requests.Go(func() { m.record(at, m.send(r, streaming)) })
	}
	requests.Wait()
	close(stop)
	probes.Wait()
	m.print()
}

// watch writes each change of an instance's readiness.
func (m *Monitor) watch(i Instance, stop chan struct{}) {
	ready := false
	for {
		select {
		case <-stop:
			return
		case <-time.After(probeInterval):
		}
		status, _, err := m.client.GetTimeout(nil, "http://"+string(i.Status)+"/-/readiness", probeTimeout)
		if now := err == nil && status == fasthttp.StatusOK; now != ready {
			ready = now
			m.mu.Lock()
			_, _ = fmt.Fprintf(m.w, "ready %d %s %v\n", time.Now().UnixMilli(), i.Name, ready)
			m.mu.Unlock()
		}
	}
}

// newClient returns a client that tries each request once (R2).
func newClient() *fasthttp.Client {
	return &fasthttp.Client{
		MaxConnsPerHost: maxConns, MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (reset, retry bool) { return false, false },
	}
}

// request returns request n, which the caller releases: two of three are prompts, one of six a safe and one an unsafe request.
func (m *Monitor) request(n int) (r *fasthttp.Request, streaming bool) {
	to := m.cfg.Instances[m.rand.IntN(len(m.cfg.Instances))]
	r = fasthttp.AcquireRequest()
	r.UseHostHeader = true
	r.Header.SetHost(medlarsite.Host)
	r.Header.Set("Api-Key", medlarsite.Key)
	r.Header.Set("Medlarfield-Request-Id", fmt.Sprintf("a%x-%d", m.begin.UnixMilli(), n))
	r.Header.Set("Medlarfield-Timeout-Ms", strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	path := "/read/one"
	switch n % 6 {
	case 0:
	case 1:
		path = "/post/one"
		r.Header.SetMethod(fasthttp.MethodPost)
		r.SetBodyString("amount=7")
	default:
		streaming = true
		path = []string{"/letter/one", "/query/one"}[n%2]
		r.Header.SetMethod(fasthttp.MethodPost)
		r.SetBodyString("{}")
		if !m.cfg.SameBody {
			r.SetBodyString(fmt.Sprintf("{\"n\":%d}", n))
		}
		r.Header.Set("Medlarfield-Model", medlarsite.Model)
		r.Header.Set("Medlarfield-Token-Usage", "1000,50")
		r.Header.Set("Medlarfield-Prompt-Prefix", fmt.Sprintf("aa:100,b%x:400,c%x:500", m.rand.IntN(max(m.cfg.Parts, 1)), n))
	}
	r.SetRequestURI("http://" + string(to.Address) + path)
	return r, streaming
}

// send sends a request and returns how it failed; empty if it was served (R2, R3).
func (m *Monitor) send(r *fasthttp.Request, streaming bool) string {
	defer fasthttp.ReleaseRequest(r)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	err := m.client.DoTimeout(r, resp, requestTimeout)
	switch {
	case errors.Is(err, fasthttp.ErrTimeout):
		return "timeout"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case err != nil:
		return "broken"
	case resp.StatusCode() != fasthttp.StatusOK:
		return strconv.Itoa(resp.StatusCode())
	case streaming && !bytes.Contains(resp.Body(), []byte(m.cfg.LastEvent)):
		return "cut"
	}
	return ""
}

func (m *Monitor) record(at int, failed string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.bins[at]
	if b == nil {
		b = &bin{failed: map[string]int{}}
		m.bins[at] = b
	}
	b.sent++
	if failed == "" {
		b.served++
	} else {
		b.failed[failed]++
	}
}

func (m *Monitor) print() {
	var times []int
	for at := range m.bins {
		times = append(times, at)
	}
	slices.SortFunc(times, cmp.Compare)
	for _, at := range times {
		b := m.bins[at]
		_, _ = fmt.Fprintf(m.w, "bin %d %d %d %v\n", m.begin.Add(time.Duration(at)*binWidth).UnixMilli(), b.sent, b.served, b.failed)
	}
}
