package medlarsoak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"medlarfield/internal/stand/medlaravailability"
	"medlarfield/internal/stand/medlarsite"
)

// Times of the load.
const (
	RequestTimeout = 3 * time.Second
	calmLeast      = 2500 * time.Millisecond // of load after the last fault
	resumePause    = 50 * time.Millisecond   // from the end of a stream that broke off until its caller takes it up
)

// pressFactor is how much more callers send while they press.
const pressFactor = 4

// maxResumes is how often a caller takes a stream up.
const maxResumes = 3

// maxConns is the number of connections to one instance.
const maxConns = 4096

// Load are callers that send requests at a constant rate, each once and on connections that are kept. They take streams
// that break off up at any instance.
type Load struct {
	Instances []medlaravailability.Instance
	Rate      float64 // requests a second
	CalmFile  string  // is written when all faults have ended
	PressFile string  // exists while pressFactor times as much is sent
	Seed      uint64
	Same      bool // all requests of a route have the same path and body
	Deadly    bool // requests under which replicas may crash come, too

	client *fasthttp.Client
	mu     sync.Mutex
	w      io.Writer
	calls  []*Call
}

// Run sends requests until nine tenths are served in calm, at most for RecoverBound, and writes their records to w.
func (l *Load) Run(w io.Writer) {
	l.w = w
	l.client = &fasthttp.Client{
		MaxConnsPerHost: maxConns, MaxIdemponentCallAttempts: 1, StreamResponseBody: true, ReadTimeout: RequestTimeout,
		RetryIfErr: func(*fasthttp.Request, int, error) (reset, retry bool) { return false, false },
	}
	r := rand.New(rand.NewPCG(l.Seed, 2))
	begin := time.Now()
	next := begin
	var wg sync.WaitGroup
	if l.Deadly {
		wg.Go(l.sendDeadly)
	}
	for n := 0; !l.done(); n++ {
		time.Sleep(time.Until(next))
		next = next.Add(l.interval())
		to := l.Instances[r.IntN(len(l.Instances))]
		c := l.add(Call{ID: fmt.Sprintf("s%x-%d", begin.UnixMilli(), n), Path: l.path(n)}, to)
		part := r.IntN(16)
		wg.Go(func() { l.follow(c, to, part, n) })
	}
	wg.Wait()
}

// interval returns the time until the next request.
func (l *Load) interval() time.Duration {
	rate := l.Rate
	if _, err := os.Stat(l.PressFile); err == nil {
		rate *= pressFactor
	}
	return time.Duration(float64(time.Second) / rate)
}

// add adds a call to an instance that is about to be made.
func (l *Load) add(c Call, to medlaravailability.Instance) *Call {
	c.At, c.Instance = time.Now().UnixMilli(), string(to.Name)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, &c)
	return &c
}

// follow makes a call, and takes its stream up at other instances while it breaks off.
func (l *Load) follow(c *Call, to medlaravailability.Instance, part, n int) {
	r := rand.New(rand.NewPCG(l.Seed, uint64(n)))
	first := c.ID
	for try := 1; ; try++ {
		l.send(c, l.request(c, "http://"+string(to.Address), part, n))
		last := c.Last()
		if !strings.HasPrefix(c.Path, PrefixLetter) || c.Served() || last == 0 || last == Events || try > maxResumes {
			return
		}
		time.Sleep(resumePause)
		to = l.Instances[r.IntN(len(l.Instances))]
		c = l.add(Call{ID: fmt.Sprintf("%s-%d", first, try), Path: c.Path, Began: first, After: last}, to)
	}
}

// path returns the path of request n: two of three are prompts.
func (l *Load) path(n int) string {
	prefix := []string{PrefixRead, PrefixPost, PrefixLetter, PrefixQuery, PrefixLetter, PrefixQuery}[n%6]
	if l.Same {
		return prefix + "one"
	}
	return prefix + strconv.Itoa(n)
}

// request returns the request of a call, which the caller releases.
func (l *Load) request(c *Call, base string, part, n int) *fasthttp.Request {
	r := fasthttp.AcquireRequest()
	r.UseHostHeader = true
	r.Header.SetHost(medlarsite.Host)
	r.Header.Set("Api-Key", medlarsite.Key)
	r.Header.Set(headerID, c.ID)
	r.Header.Set("Medlarfield-Timeout-Ms", strconv.FormatInt(RequestTimeout.Milliseconds(), 10))
	if c.Began != "" {
		r.Header.Set("Last-Event-Id", strconv.Itoa(c.After))
		r.Header.Set("Resumes", c.Began)
	}
	if !strings.HasPrefix(c.Path, PrefixRead) {
		r.Header.SetMethod(fasthttp.MethodPost)
		r.SetBodyString("{}")
	}
	if Streams(c.Path) {
		r.Header.Set("Medlarfield-Model", medlarsite.Model)
		r.Header.Set("Medlarfield-Token-Usage", "1000,50")
		r.Header.Set("Medlarfield-Prompt-Prefix", fmt.Sprintf("aa:100,b%x:400,c%x:500", part, n))
	}
	r.SetRequestURI(base + c.Path)
	return r
}

// send sends a request and records its response, as far as it arrived.
func (l *Load) send(c *Call, req *fasthttp.Request) {
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	begin := time.Now()
	err := l.client.Do(req, resp)
	seen := *c // done reads it, and nothing else writes to it
	if err == nil {
		seen.Status = resp.StatusCode()
		seen.Answers = string(resp.Header.Peek(headerID))
		var body []byte
		body, err = readBody(resp)
		seen.Body, seen.Ended = string(body), err == nil
	}
	if err != nil {
		seen.Error = err.Error()
	}
	seen.Took = time.Since(begin).Milliseconds()
	l.mu.Lock()
	defer l.mu.Unlock()
	*c = seen
	_ = write(l.w, c)
}

// readBody returns what arrives of a body, and the error that ended it.
func readBody(resp *fasthttp.Response) ([]byte, error) {
	stream := resp.BodyStream()
	if stream == nil {
		return resp.Body(), nil
	}
	body, err := io.ReadAll(stream)
	if closeErr := resp.CloseBodyStream(); err == nil {
		err = closeErr
	}
	return body, err
}

// done reports whether the load ends: nine tenths have been served again, or RecoverBound has passed.
func (l *Load) done() bool {
	file, err := os.Stat(l.CalmFile)
	if err != nil || time.Since(file.ModTime()) < calmLeast {
		return false
	}
	calm := file.ModTime()
	l.mu.Lock()
	defer l.mu.Unlock()
	return UntilRecovered(l.calls, calm) >= 0 || time.Since(calm) > RecoverBound+calmLeast
}
