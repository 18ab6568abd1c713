// Package medlarroutequery answers to which replica an attached instance would send a request now. Nothing is sent.
package medlarroutequery

import (
	"context"
	"fmt"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"medlarfield/internal/agree/medlarcatalog"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarrun"
	"medlarfield/internal/ops/medlarloop"
	"medlarfield/internal/ops/medlarregistry"
	"medlarfield/internal/ops/medlarreport"
	"medlarfield/platform"
)

// routeTimeout bounds the wait for the core's verdict.
const routeTimeout = time.Second

// questionTimeout is the time until the deadline of a request whose route states none.
const questionTimeout = 30 * time.Second

// Answerer answers from the state of its own instance.
type Answerer struct {
	registry *medlarregistry.Registry
	loop     *medlarloop.Loop
}

// New returns an Answerer that uses the registry and the core of an instance.
func New(registry *medlarregistry.Registry, loop *medlarloop.Loop) *Answerer {
	return &Answerer{registry: registry, loop: loop}
}

// Serve answers an HTTP request whose arguments describe the request in question.
func (a *Answerer) Serve(ctx *fasthttp.RequestCtx) {
	out, status, err := a.route(ctx.QueryArgs())
	if err != nil {
		ctx.Error(err.Error(), status)
		return
	}
	b, err := json.Marshal(out)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// route asks the core about the request that args describe. An error comes with its status.
func (a *Answerer) route(args *fasthttp.Args) (out medlarreport.RouteVerdict, status int, err error) {
	arg := func(name string) string { return string(args.Peek(name)) }
	q := medlarplatform.Question{Host: arg("host"), Path: arg("path"), Key: arg("key"), Model: arg("model"), Tokens: arg("tokens"), Prefix: arg("prefix")}
	head, err := q.Head()
	if err != nil {
		return out, fasthttp.StatusBadRequest, err
	}
	call, err := medlarplatform.DecodeCall(head)
	if err != nil {
		return out, fasthttp.StatusBadRequest, err
	}
	cat := a.registry.Catalog()
	if cat == nil {
		return out, fasthttp.StatusServiceUnavailable, eris.Errorf("the instance has no configuration yet")
	}
	route := cat.Route(q.Host, head.Path())
	if route == nil {
		return out, fasthttp.StatusNotFound, eris.Errorf("no route for host %q and path %q in version %d of the configuration", q.Host, q.Path, cat.Version)
	}
	account, err := accountOf(cat, route, q.Key, medlarid.AccountID(arg("account")))
	if err != nil {
		return out, fasthttp.StatusNotFound, err
	}
	run := &medlarrun.Request{Head: head, Call: &call, Route: route, Account: account, Group: cat.CacheGroup(account), Arrived: time.Now()}
	if call.Model != "" {
		v := a.loop.Versions(call.Model)
		if run.Serving, run.Desired = v.Serving, v.Desired; run.Desired == "" {
			return out, fasthttp.StatusNotFound, eris.Errorf("unknown model %q", call.Model)
		}
	}
	if route.Timeout == 0 {
		call.Timeout = questionTimeout
	}
	at := 0.0 // the first of several services
	if stream, _ := run.Stream(); stream != 0 {
		at = stream.Fraction()
	}
	r := medlarrun.New(run, call.ID, route.PickService(at))
	timed, cancel := context.WithTimeout(context.Background(), routeTimeout)
	defer cancel()
	verdict, ok := a.loop.Ask(timed, r, medlarworld.Limits{})
	if !ok {
		return out, fasthttp.StatusServiceUnavailable, eris.Errorf("no verdict within %v", routeTimeout)
	}
	out = medlarreport.RouteVerdict{Route: route.Name, Service: r.Service, Account: account.ID, Version: cat.Version, Verdict: verdict}
	for _, n := range verdict.Absent {
		out.Needed = append(out.Needed, fmt.Sprintf("part %s is in no store and not cached at %s", call.Parts[n].ID, verdict.Candidates[0].Replica))
	}
	for _, x := range verdict.Excluded {
		if x.Home {
			out.Needed = append(out.Needed, fmt.Sprintf("home replica %s is excluded: %s", x.Replica, x.Reason))
		}
	}
	return out, fasthttp.StatusOK, nil
}

// accountOf returns the account with a name, or that of a key if name is empty.
func accountOf(cat *medlarcatalog.Catalog, route *medlarcatalog.Route, key string, name medlarid.AccountID) (medlarcatalog.Account, error) {
	if name != "" {
		if a, ok := cat.AccountNamed(name); ok {
			return a, nil
		}
		return medlarcatalog.Account{}, eris.Errorf("unknown account %q", name)
	}
	a, ok := cat.Account(route, key)
	switch {
	case key == "" && !ok:
		return a, eris.Errorf("route %q needs an account", route.Name)
	case !ok || key != "" && a.ID == "":
		return a, eris.Errorf("the key belongs to no account")
	}
	return a, nil
}
