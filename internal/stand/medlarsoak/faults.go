package medlarsoak

import (
	"cmp"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/stand/medlarending"
	"medlarfield/internal/stand/medlarfakereplica"
	"medlarfield/internal/stand/medlarlink"
	"medlarfield/internal/stand/medlarschedule"
	"medlarfield/internal/stand/medlarsite"
	"medlarfield/internal/stand/medlarstutter"
)

const (
	headerID     = "Medlarfield-Request-Id"
	topicServers = "keyed.servers"
)

// Platform is an emulated platform whose faults commands control and whose replicas' runs are recorded.
type Platform struct {
	site    *medlarsite.Site
	stutter medlarstutter.Stutter

	mu     sync.Mutex
	w      io.Writer                               // for the records of arrivals and runs
	most   int                                     // largest number of attempts of all routes; 0 while each has its own
	deadly map[Deadly]medlarfakereplica.CrashPoint // where replicas crash under requests of a kind
}

// NewPlatform starts a platform. The runs of its replicas are written to w.
func NewPlatform(cfg medlarsite.Settings, w io.Writer) (*Platform, error) {
	p := &Platform{w: w, deadly: map[Deadly]medlarfakereplica.CrashPoint{}}
	cfg.NameRequests, cfg.Wrap, cfg.Builds = true, p.stutter.Wrap, []string{"r0"}
	cfg.Arrived = p.arrived
	site, err := medlarsite.New(cfg)
	if err != nil {
		return nil, err
	}
	p.site = site
	site.CrashOnRequest(func(r medlarfakereplica.Run) medlarfakereplica.CrashPoint { // is called for each run
		return p.crashPoint(p.record(r, Run{Ran: true}))
	})
	return p, nil
}

// Site returns the emulated platform.
func (p *Platform) Site() *medlarsite.Site { return p.site }

// usualCrashPoints are the points of an answer at which replicas crash if the command names none.
var usualCrashPoints = map[Deadly]medlarfakereplica.CrashPoint{
	DeadlyRequest: medlarfakereplica.CrashRunning,
	DeadlyPart:    medlarfakereplica.CrashBegun,
}

// arrived records a request that arrived at a replica, and the pause that the replica asks for in its response.
func (p *Platform) arrived(r medlarfakereplica.Run) {
	p.record(r, Run{})
	if r.Fault == string(medlarfakereplica.FaultPause) {
		pause, _ := time.ParseDuration(medlarfakereplica.PauseSeconds + "s")
		p.record(r, Run{Pause: pause.Milliseconds()})
	}
}

// record completes and writes the record of a request that arrived at a replica, and returns what of it crashes replicas.
func (p *Platform) record(r medlarfakereplica.Run, out Run) Deadly {
	out.Left, _ = strconv.ParseInt(r.Timeout, 10, 64) // 0 for one that is missing or no number
	out.ID, out.Path, out.Resumed, out.Replica = r.ID, r.Target, r.LastEventID != "", r.Replica
	out.Instance = p.site.LinkFrom(r.Remote, r.Local)
	p.mu.Lock()
	defer p.mu.Unlock()
	if kind := deadlyPaths[r.Target]; p.deadly[kind] != medlarfakereplica.CrashNowhere {
		out.Deadly = kind
	}
	out.At, out.Most = time.Now().UnixMilli(), p.most
	_ = write(p.w, out)
	return out.Deadly
}

// setState puts a link, or the store for an empty instance, into a state.
func (p *Platform) setState(instance, state string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = write(p.w, Run{At: time.Now().UnixMilli(), Instance: instance, State: cmp.Or(state, StateUp)})
}

// crashPoint returns where replicas crash under a request of a kind.
func (p *Platform) crashPoint(kind Deadly) medlarfakereplica.CrashPoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.deadly[kind]
}

// setDeadly makes replicas crash under the requests of a kind, at a point of their answer or at the usual one; no kind ends
// that.
func (p *Platform) setDeadly(kind Deadly, at medlarfakereplica.CrashPoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if kind == DeadlyNone {
		clear(p.deadly)
		return
	}
	p.deadly[kind] = cmp.Or(at, usualCrashPoints[kind])
}

// setAttempts sets the largest number of attempts of all routes. Requests that are under way may have begun with
// another one.
func (p *Platform) setAttempts(ctx *fasthttp.RequestCtx, n int) {
	p.mu.Lock()
	p.most = n
	p.mu.Unlock()
	p.change(ctx, func(c *medlarsite.Config) {
		for i := range c.Routes {
			c.Routes[i].MaxAttempts = n
		}
	})
}

// Handler returns the handler of the control address. It takes the commands of medlarsite.ControlHandler, and:
//
//	POST /attempts?n=N                              sets the largest number of attempts of all routes
//	POST /link?name=I&state=S                       puts the link of an instance into a state
//	POST /copies?status=S&without=H&form=F&n=N      repeats the next N responses with a status, without a header field
//	POST /arm?fault=F&n=N                           injects a fault into the next N requests at each replica
//	POST /broken?with=I&n=N                         breaks N streams of each replica off; resumptions get response I
//	POST /again?with=I&n=N                          makes N responses of each plain replica like ending I of medlarending.Again
//	POST /twice?with=I&n=N                          makes N responses of each replica like ending I of medlarending.Twice
//	POST /every?fault=F&n=N                         injects a fault into each N-th request at each plain replica
//	POST /slow?ms=MS                                sets the duration of plain requests; 0 for the usual one
//	POST /stall?from=I&n=N&ms=MS                    lets N plain replicas stand still, the I-th and those behind it
//	POST /disarm                                    takes the faults of the last eight back
//	POST /deadly?kind=K&at=P                        makes replicas crash under the requests of a kind, at a point of their answer; under none without one
//	POST /rewind?n=N                                lets the store come back without the last N records of each topic
//	POST /odd?entry=I                               writes odd entry I of replicas; removes all for -1
func (p *Platform) Handler() fasthttp.RequestHandler {
	other := p.site.ControlHandler()
	return func(ctx *fasthttp.RequestCtx) {
		q := ctx.QueryArgs()
		text := func(name string) string { return string(q.Peek(name)) }
		switch string(ctx.Path()) {
		case "/attempts":
			p.setAttempts(ctx, q.GetUintOrZero("n"))
		case "/link":
			p.setState(text("name"), text("state"))
			if err := p.site.Link(text("name")).Set(medlarlink.State(text("state"))); err != nil {
				ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
			}
		case "/store":
			p.setState("", text("fault"))
			other(ctx)
		case "/deadly":
			p.setDeadly(Deadly(text("kind")), medlarfakereplica.CrashPoint(text("at")))
		case "/copies":
			p.stutter.ArmTimes(medlarstutter.Copy{
				Status: q.GetUintOrZero("status"), Without: text("without"), Form: medlarstutter.Form(text("form")),
			}, q.GetUintOrZero("n"))
		case "/arm":
			for _, r := range p.site.Replicas() {
				r.Arm(medlarfakereplica.Fault(text("fault")), q.GetUintOrZero("n"))
			}
		case "/every":
			for _, r := range p.plain() {
				r.Pace.SetFault(text("fault"), q.GetUintOrZero("n"))
			}
		case "/slow":
			for _, r := range p.plain() {
				r.Pace.SetWork(millis(q, "ms"))
			}
		case "/stall":
			replicas := p.plain()
			for i := range min(q.GetUintOrZero("n"), len(replicas)) {
				replicas[(q.GetUintOrZero("from")+i)%len(replicas)].Pace.Stall(millis(q, "ms"))
			}
		case "/broken":
			p.breakStreams(q.GetUintOrZero("with"), q.GetUintOrZero("n"))
		case "/again":
			p.beginAgain(q.GetUintOrZero("with"), q.GetUintOrZero("n"))
		case "/twice":
			p.answerTwice(q.GetUintOrZero("with"), q.GetUintOrZero("n"))
		case "/disarm":
			p.disarm()
		case "/rewind":
			p.site.Store.Rewind(q.GetUintOrZero("n"))
			p.change(ctx, func(*medlarsite.Config) {}) // the operator writes again; heartbeats do the same for replicas
		case "/odd":
			p.putOdd(text("entry"), q.GetUintOrZero("entry"))
		default:
			other(ctx)
		}
	}
}

// plain returns the replicas of the plain service.
func (p *Platform) plain() []*medlarfakereplica.Replica {
	return slices.DeleteFunc(p.site.Replicas(), func(r *medlarfakereplica.Replica) bool { return r.Settings.Model != "" })
}

func millis(q *fasthttp.Args, name string) time.Duration {
	return time.Duration(q.GetUintOrZero(name)) * time.Millisecond
}

// change changes the operator's configuration.
func (p *Platform) change(ctx *fasthttp.RequestCtx, f func(*medlarsite.Config)) {
	if err := p.site.Change(f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}

// breakStreams makes the next n responses of each replica of the engine break off after the second event; a request
// that resumes a stream gets another response.
func (p *Platform) breakStreams(with, n int) {
	for _, replica := range p.site.EngineReplicas() {
		e := medlarending.Ending{Text: func(r medlarending.Request) string {
			if r.LastEventID == "" {
				return breakOff(r)
			}
			response := medlarending.Instead[with].Text(r)
			if rejects(response) {
				p.deny(r.ID, replica.Settings.ID)
			}
			return response
		}}
		for range n {
			replica.ArmEnding(e)
		}
	}
}

// beginAgain makes the next n responses of each plain replica be written, or begun, once more on their connections.
func (p *Platform) beginAgain(with, n int) {
	for _, replica := range p.site.Plain {
		for range n {
			replica.ArmEnding(medlarending.Again[with])
		}
	}
}

// answerTwice makes the next n responses of each replica be written twice on their connections.
func (p *Platform) answerTwice(with, n int) {
	stream := medlarending.TwiceStream(func(r medlarending.Request) string {
		last, _ := strconv.Atoi(r.LastEventID) // 0 for a stream that begins
		var b strings.Builder
		for i := last; i < Events; i++ {
			b.WriteString(Event(i+1, r.ID))
		}
		return b.String()
	})
	for range n {
		for _, replica := range p.site.Plain {
			replica.ArmEnding(medlarending.Twice()[with])
		}
		for _, replica := range p.site.EngineReplicas() {
			replica.ArmEnding(stream[with])
		}
	}
}

// rejects reports whether a response states that the request did not run.
func rejects(response string) bool {
	return strings.HasPrefix(response, "HTTP/1.1 421 ") || strings.Contains(response, "Medlarfield-Not-Executed: 1\r\n")
}

// deny records that a replica has answered that it did not run a request, which had been recorded before.
func (p *Platform) deny(id, replica string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = write(p.w, Run{At: time.Now().UnixMilli(), ID: id, Replica: replica, Denied: true})
}

// breakOff returns the first two events of a stream.
func breakOff(r medlarending.Request) string {
	b := append(medlarhead.AppendStatus(nil, fasthttp.StatusOK), r.Fields...)
	b = append(b, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"...)
	b = medlarhead.AppendEnd(b)
	for n := range 2 {
		b = medlarhead.AppendChunk(b, []byte(Event(n+1, r.ID)))
	}
	return string(b)
}

// disarm takes back the faults of replicas that have not happened yet.
func (p *Platform) disarm() {
	p.stutter.ArmTimes(medlarstutter.Copy{}, 0)
	for _, r := range p.site.Replicas() {
		r.Disarm()
		r.ShareEndings(&medlarending.Queue{})
	}
}

// putOdd writes an odd entry before, behind and in place of those of the replicas, or removes it for "-1". A replica
// whose entry is replaced or removed writes it again with its next heartbeat.
func (p *Platform) putOdd(number string, i int) {
	var value []byte
	if number != "-1" {
		value = []byte(medlarschedule.OddEntries[i])
	}
	for _, key := range []string{"!first", "engine-1", "ledger-1x", "~last"} {
		p.site.Store.Put(topicServers, key, value)
	}
}
