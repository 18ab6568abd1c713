package medlarproxy

import (
	"context"
	"time"

	"medlarfield/internal/agree/medlarcatalog"
	"medlarfield/internal/base/medlarevent"
	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarbuffer"
	"medlarfield/internal/edge/medlarcall"
	"medlarfield/internal/edge/medlarpatience"
	"medlarfield/internal/edge/medlarrefusal"
	"medlarfield/internal/edge/medlarrun"
	"medlarfield/internal/edge/medlarserver"
)

// exchange is a request and its response.
type exchange struct {
	proxy   *Proxy
	conn    *medlarserver.Conn
	head    *medlarhead.Head
	body    []byte
	buffers medlarbuffer.Buffers
	call    medlarcall.Call

	route     *medlarcatalog.Route
	account   medlarcatalog.Account
	group     medlarkey.CacheGroup // with which the account shared cached context when the request arrived
	run       *medlarworld.Run
	commands  <-chan medlarworld.Command // of the core, about the run
	summary   *medlarcall.Summary
	arrived   time.Time
	ctx       context.Context // canceled when the client disconnects
	cancel    context.CancelFunc
	stopWatch func()

	responseStarted bool      // a part of the response was sent
	fallback        *response // an upstream's error response, sent if no attempt gets a better one
	events          medlarevent.Splitter
}

func newExchange(p *Proxy, r medlarserver.Request) *exchange {
	x := &exchange{proxy: p, conn: r.Conn, head: r.Head, body: r.Body, buffers: medlarbuffer.New(p.deps.Memory, r.Memory), arrived: r.Arrived, summary: &medlarcall.Summary{}}
	x.ctx, x.cancel = context.WithCancel(context.Background())
	return x
}

// close releases the resources of the exchange and reports its result.
func (x *exchange) close() {
	if x.stopWatch != nil {
		x.stopWatch()
	}
	x.cancel()
	x.buffers.Release()
	x.summary.Duration = time.Since(x.arrived)
	x.proxy.deps.Observer.RequestEnded(x.summary)
}

// serve handles the request and reports whether the client connection can be reused.
func (x *exchange) serve() bool {
	call, err := x.proxy.deps.Decode(x.head)
	x.call = call
	x.summary.ID = call.ID
	x.summary.LastEventID, x.summary.Resumes = call.LastEventID, call.Resumes
	if err != nil {
		return x.refuse(medlarreason.Malformed, medlarreason.RanNo, 0)
	}
	if reason := x.resolve(); reason != "" {
		return x.refuse(reason, medlarreason.RanNo, x.proxy.deps.UnreadyRetryAfter())
	}
	x.buildRun()
	x.stopWatch = x.conn.WatchDisconnect(x.cancel)
	x.commands = x.proxy.deps.Submit(x.run, medlarworld.Limits{})
	defer x.proxy.deps.Done(x.run.ID)
	return x.runCommands()
}

// resolve determines the route and the account, or returns why the request is refused.
func (x *exchange) resolve() medlarreason.Reason {
	cat := x.proxy.deps.Catalog()
	if cat == nil {
		return medlarreason.Unready
	}
	x.summary.ConfigVersion = cat.Version
	host, _ := x.head.Get("Host")
	x.route = cat.Route(host, x.head.Path())
	if x.route == nil {
		return medlarreason.Absent
	}
	x.summary.Route, x.summary.Kind = x.route.Name, x.route.Kind
	account, ok := cat.Account(x.route, x.call.Key)
	if !ok {
		return medlarreason.Unauthenticated
	}
	x.account, x.group = account, cat.CacheGroup(account)
	x.summary.Account = account.ID
	return ""
}

// buildRun creates the run of the request, with its deadline (R4).
func (x *exchange) buildRun() {
	q := &medlarrun.Request{Head: x.head, Body: x.body, Call: &x.call, Route: x.route, Account: x.account, Group: x.group, Arrived: x.arrived}
	if x.call.Model != "" {
		q.Serving, q.Desired = x.proxy.deps.Versions(x.call.Model)
	}
	if q.Desired != "" {
		x.summary.Model = x.call.Model
	}
	at := x.proxy.deps.Rand()
	if stream, _ := q.Stream(); stream != 0 {
		at = stream.Fraction() // a stream goes on at the service that began it
	}
	x.run = medlarrun.New(q, x.proxy.runID(x.call.ID), x.route.PickService(at))
	x.summary.Service = x.run.Service
}

// runCommands executes the core's commands until the request has ended. It reports whether the
// client connection can be reused.
func (x *exchange) runCommands() bool {
	for {
		select {
		case <-x.ctx.Done():
			x.proxy.deps.Post(medlarworld.CallerLeft{Run: x.run.ID})
			x.summary.Reason = medlarreason.Gone
			return false
		case cmd := <-x.commands:
			switch cmd := cmd.(type) {
			case medlarworld.StartAttempt:
				if ended, reusable := x.startAttempt(cmd); ended {
					return reusable
				}
			case medlarworld.Refuse:
				return x.finishRefused(cmd)
			}
		}
	}
}

// startAttempt makes an attempt. It reports whether the request has ended with it, and
// whether the client connection can be reused.
func (x *exchange) startAttempt(cmd medlarworld.StartAttempt) (ended, reusable bool) {
	if x.summary.Attempts == 0 {
		x.summary.QueueTime = time.Since(x.arrived)
	}
	x.summary.Attempts++
	x.summary.Upstream, x.summary.Build = cmd.Upstream, cmd.Build
	x.summary.Parts, x.summary.Decision = cmd.Parts, cmd.Decision
	a := &attempt{exchange: x, cmd: cmd, started: time.Now()}
	end := x.proxy.patience.Begin(x.route, x.run.Service, cmd.Upstream, a.started)
	e := a.do()
	end(time.Now(), medlarpatience.OutcomeOf(e))
	x.summary.Body = a.bodyEnd
	a.report(e)
	x.proxy.deps.Post(e)
	switch e.Cause {
	case medlarkind.CauseDone, medlarkind.CauseAnswered:
		return true, x.summary.Complete
	case medlarkind.CauseCallerLeft:
		x.summary.Reason = medlarreason.Gone
		return true, false
	}
	return false, false
}

// finishRefused ends a request for which the core starts no further attempt.
func (x *exchange) finishRefused(cmd medlarworld.Refuse) bool {
	x.summary.Waiting, x.summary.Upstreams, x.summary.RetryTokens = cmd.Waiting, cmd.Upstreams, cmd.RetryTokens
	x.summary.BlockedTrait = cmd.Trait
	if x.responseStarted {
		x.summary.Reason, x.summary.Ran = cmd.Reason, cmd.Ran
		return false // the response is left without its final chunk (R2)
	}
	if x.fallback != nil {
		return x.sendResponse(x.fallback) == nil
	}
	return x.refuse(cmd.Reason, cmd.Ran, cmd.RetryAfter)
}

// refuse sends a refusal (R1).
func (x *exchange) refuse(reason medlarreason.Reason, ran medlarreason.Ran, after time.Duration) bool {
	late := x.run != nil && !time.Now().Before(x.run.Deadline)
	x.summary.Reason, x.summary.Ran, x.summary.Status = reason, ran, medlarrefusal.Status(reason, ran, late)
	if medlarreason.MeansNotRun(x.summary.Status) {
		x.summary.RetryAfter = after
	}
	format := medlarrefusal.Format{Last: x.closesConn(), Head: x.head.Method == "HEAD"}
	x.summary.Complete = x.write(format.Append(nil, x.summary, x.proxy.deps.Refusal)) == nil
	return x.summary.Complete
}

// closesConn reports whether the client connection is closed after the response.
func (x *exchange) closesConn() bool { return x.head.Close || x.proxy.server.Draining() }

func (x *exchange) write(b []byte) error {
	x.summary.RecordWrite(time.Since(x.arrived))
	return x.conn.Send(b)
}
