package medlarproxy

import (
	"context"
	"time"

	"medlarfield/internal/agree/medlarcatalog"
	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarcall"
	"medlarfield/internal/edge/medlarevent"
	"medlarfield/internal/edge/medlarserver"
)

// exchange is one request with its answer.
type exchange struct {
	pass *Proxy
	conn *medlarserver.Conn
	head *medlarhead.Head
	body []byte
	call medlarcall.Call

	route   *medlarcatalog.Route
	account medlarcatalog.Account
	run     *medlarworld.Run
	sum     *medlarcall.Summary
	arrived time.Time
	ctx     context.Context // ends when the caller has left
	leave   context.CancelFunc
	endWait func()

	begun  bool    // a part of the answer was sent
	held   *answer // failure of an upstream's own, to be passed on if nothing better comes
	events medlarevent.Splitter
}

func newExchange(p *Proxy, r medlarserver.Request) *exchange {
	x := &exchange{pass: p, conn: r.Conn, head: r.Head, body: r.Body, arrived: r.Arrived, sum: &medlarcall.Summary{}}
	x.ctx, x.leave = context.WithCancel(context.Background())
	return x
}

// release ends what was begun for the exchange.
func (x *exchange) release() {
	if x.endWait != nil {
		x.endWait()
	}
	x.leave()
	x.sum.Duration = time.Since(x.arrived)
	x.pass.seams.Observer.RequestEnded(x.sum)
}

// serve answers the request and reports whether the connection can be used again.
func (x *exchange) serve() bool {
	call, err := x.pass.seams.Decode(x.head)
	x.call = call
	x.sum.ID, x.sum.Model = call.ID, call.Model
	if err != nil {
		return x.refuse(medlarreason.Malformed, medlarreason.RanNo, 0)
	}
	if reason := x.find(); reason != "" {
		return x.refuse(reason, medlarreason.RanNo, x.pass.seams.UnreadyRetryAfter())
	}
	x.plan()
	x.endWait = x.conn.WatchDisconnect(x.leave)
	box := x.pass.seams.Submit(x.run, medlarworld.Limits{})
	defer x.pass.seams.Done(x.run.ID)
	return x.follow(box)
}

// find finds route and account, or returns why the request is refused.
func (x *exchange) find() medlarreason.Reason {
	cat := x.pass.seams.Catalog()
	if cat == nil {
		return medlarreason.Unready
	}
	x.sum.ConfigVersion = cat.Version
	host, _ := x.head.Get("Host")
	x.route = cat.Route(host, x.head.Path())
	if x.route == nil {
		return medlarreason.Absent
	}
	x.sum.Route, x.sum.Kind = x.route.Name, x.route.Kind
	account, ok := cat.Account(x.route, x.call.Key)
	if !ok {
		return medlarreason.Unauthenticated
	}
	x.account = account
	x.sum.Account = account.ID
	return ""
}

// plan makes the run of the request (R4).
func (x *exchange) plan() {
	wait := x.call.Timeout
	if wait == 0 || x.route.Timeout > 0 && x.route.Timeout < wait {
		wait = x.route.Timeout
	}
	rank := x.route.PriorityLevel
	if x.account.OverridesPriority {
		rank = x.account.PriorityLevel
	}
	once := !x.route.Repeatable()
	x.run = &medlarworld.Run{
		ID:           x.pass.runID(x.call.ID),
		Account:      x.account.ID,
		Service:      x.route.PickService(x.pass.seams.Rand()),
		Model:        x.call.Model,
		AtMostOnce:   once,
		Claimed:      once, // the caller's attempt is this instance's alone
		PromptTokens: x.call.PromptTokens,
		MaxAttempts:  x.route.MaxAttempts,
		Priority:     medlarid.Priority(-rank),
		Arrived:      x.arrived,
		Deadline:     x.arrived.Add(wait),
	}
	if x.route.Kind == medlarcatalog.KindStream {
		x.run.TargetTTFT = x.route.TargetLatency
		x.run.StartBy = x.arrived.Add(x.route.TargetLatency - startMargin)
		x.run.AbandonAt = x.arrived.Add(x.route.ClientStallTimeout)
	}
	x.sum.Service = x.run.Service
	if x.call.Model != "" {
		x.planParts()
	}
}

// startMargin is the time that is left for an attempt to begin its answer in time.
const startMargin = 80 * time.Millisecond

// planParts gives the run the keys of its prompt's parts. All but the last part may
// be shared, so the one before the last stands for the run's home.
func (x *exchange) planParts() {
	serving, wanted := x.pass.seams.Versions(x.call.Model)
	x.run.Version, x.run.Keys = serving, x.keys(serving)
	if wanted != serving {
		x.run.WantedVersion, x.run.WantedKeys = wanted, x.keys(wanted)
	}
	x.run.KeyTokens = make([]medlarid.Tokens, len(x.call.Parts))
	for i, p := range x.call.Parts {
		x.run.KeyTokens[i] = p.Tokens
	}
	if n := len(x.call.Parts); n > 0 {
		x.run.HomeKey = medlarkey.Part("", x.call.Model, x.call.Parts[max(n-2, 0)].ID)
	}
}

// keys returns the keys of the prompt's parts under a weight version.
func (x *exchange) keys(v medlarid.WeightVersion) []medlarkey.Key {
	salt := x.salt(v)
	out := make([]medlarkey.Key, len(x.call.Parts))
	for i, p := range x.call.Parts {
		out[i] = medlarkey.Part(salt, x.call.Model, p.ID)
	}
	return out
}

// salt returns the salt of the prompt's parts under a weight version.
func (x *exchange) salt(v medlarid.WeightVersion) medlarkey.CacheSalt {
	if x.account.Isolated {
		return medlarkey.NewCacheSalt(v, x.account.ID)
	}
	return medlarkey.NewCacheSalt(v, "")
}

// follow carries out the core's commands until the request has ended.
func (x *exchange) follow(box <-chan medlarworld.Command) bool {
	for {
		select {
		case <-x.ctx.Done():
			x.pass.seams.Post(medlarworld.CallerLeft{Run: x.run.ID})
			x.sum.Reason = medlarreason.Gone
			return false
		case cmd := <-box:
			switch cmd := cmd.(type) {
			case medlarworld.StartAttempt:
				if ended, keep := x.start(cmd); ended {
					return keep
				}
			case medlarworld.Refuse:
				return x.giveUp(cmd)
			}
		}
	}
}

// start makes an attempt; it reports whether the request has ended with it, and
// whether the connection can be used again.
func (x *exchange) start(cmd medlarworld.StartAttempt) (ended, keep bool) {
	if x.sum.Attempts == 0 {
		x.sum.QueueTime = time.Since(x.arrived)
	}
	x.sum.Attempts++
	x.sum.Upstream = cmd.Upstream
	x.sum.Parts, x.sum.Decision = cmd.Parts, cmd.Decision
	a := &attempt{exchange: x, cmd: cmd, begin: time.Now()}
	e := a.make()
	a.note(e)
	x.pass.seams.Post(e)
	switch e.Cause {
	case medlarworld.CauseDone, medlarworld.CauseUpstreamError:
		return true, x.sum.Complete
	case medlarworld.CauseCallerLeft:
		x.sum.Reason = medlarreason.Gone
		return true, false
	}
	return false, false
}

// giveUp ends a request for which the core has no further attempt.
func (x *exchange) giveUp(cmd medlarworld.Refuse) bool {
	x.sum.Waiting, x.sum.Upstreams, x.sum.RetryTokens = cmd.Waiting, cmd.Upstreams, cmd.RetryTokens
	if x.begun {
		x.sum.Reason, x.sum.Ran = cmd.Reason, cmd.Ran
		return false // the answer stays without its end (R2)
	}
	if x.held != nil {
		return x.sendWhole(x.held) == nil
	}
	return x.refuse(cmd.Reason, cmd.Ran, cmd.RetryAfter)
}

// refuse answers with a refusal of the system's own (R1).
func (x *exchange) refuse(reason medlarreason.Reason, ran medlarreason.Ran, after time.Duration) bool {
	row, _ := medlarreason.Lookup(reason)
	x.sum.Reason, x.sum.Ran, x.sum.Status = reason, ran, row.Status
	if ran != medlarreason.RanNo && promises(row.Status) || row.Status == statusFailed {
		x.sum.Status = statusFailed
		if x.run != nil && !time.Now().Before(x.run.Deadline) {
			x.sum.Status = statusTimeout
		}
	}
	if promises(x.sum.Status) {
		x.sum.RetryAfter = after
	}
	x.sum.Complete = x.write(x.pass.refusalText(x.sum, x.last())) == nil
	return x.sum.Complete
}

// Statuses that tell nothing about whether a request ran.
const (
	statusFailed  = 502
	statusTimeout = 504
)

// promises reports whether a status tells that the request did not run.
func promises(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// last reports whether the answer is the last one of its connection.
func (x *exchange) last() bool { return x.head.Close || x.pass.door.Draining() }

func (x *exchange) write(b []byte) error {
	x.sum.RecordWrite(time.Since(x.arrived))
	return x.conn.Send(b)
}
