package medlarnode

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/fasthttp/router"
	"github.com/go-json-experiment/json"
	"github.com/valyala/fasthttp"

	"medlarfield/internal/agree/medlarclaim"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarreason"
)

// summaryTimeout is the limit for reading the core's summary.
const summaryTimeout = time.Second

// Status is the state of an instance, as served at /status.
type Status struct {
	Name         medlarid.InstanceID         `json:"name"`
	Zone         medlarid.Zone               `json:"zone"`
	Ready        bool                        `json:"ready"`
	Draining     bool                        `json:"draining"`
	Version      medlarid.Offset             `json:"version"`
	NextOffset   medlarid.Offset             `json:"read"` // next offset of the lists stream
	EndOffset    medlarid.Offset             `json:"end"`  // end of the lists stream
	LagSeconds   float64                     `json:"lag"`  // seconds since the last read
	LogHealthy   bool                        `json:"log"`  // the last read succeeded
	Waiting      int                         `json:"waiting"`
	OpenRequests int                         `json:"open"`
	Peers        int                         `json:"peers"`
	Claims       medlarclaim.Stats           `json:"claims"`
	Refused      map[medlarreason.Reason]int `json:"refused"`
	Retried      map[medlarreason.Reason]int `json:"retried"`
	PromptTokens int                         `json:"prompt"` // prompt tokens of answered requests
	CachedTokens int                         `json:"cached"` // of these, prompt tokens not computed again
	Upstreams    []UpstreamStatus            `json:"upstreams"`
	Stores       []StoreStatus               `json:"stores"`
}

// UpstreamStatus is the state of an upstream as the instance knows it.
type UpstreamStatus struct {
	Name    medlarid.InstanceID    `json:"name"`
	Kind    string                 `json:"kind"`
	Zone    medlarid.Zone          `json:"zone"`
	Serves  string                 `json:"serves"`
	Version medlarid.WeightVersion `json:"version,omitempty"`
	State   string                 `json:"state"`
	Open    int                    `json:"open"`
	Running int                    `json:"running"`
	Queued  int                    `json:"queued"`
}

// StoreStatus is the state of a KV store as the instance knows it.
type StoreStatus struct {
	Name           medlarid.InstanceID `json:"name"`
	Zone           medlarid.Zone       `json:"zone"`
	State          string              `json:"state"`
	BytesPerSecond float64             `json:"rate"` // transfer rate
}

func (n *Node) statusHandler() fasthttp.RequestHandler {
	r := router.New()
	r.GET("/healthz", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") })
	r.GET("/readyz", n.serveReady)
	r.GET("/metrics", n.metrics.Handler())
	r.GET("/status", n.serveStatus)
	return r.Handler
}

func (n *Node) serveReady(ctx *fasthttp.RequestCtx) {
	switch {
	case n.draining.Load():
		ctx.Error("draining\n", fasthttp.StatusServiceUnavailable)
	case !n.Ready():
		ctx.Error("no configuration, claims or instance list yet\n", fasthttp.StatusServiceUnavailable)
	default:
		ctx.SetBodyString("ready\n")
	}
}

func (n *Node) serveStatus(ctx *fasthttp.RequestCtx) {
	b, err := json.Marshal(n.Status(), json.Deterministic(true))
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// Status returns the state of the instance.
func (n *Node) Status() Status {
	ctx, cancel := context.WithTimeout(context.Background(), summaryTimeout)
	defer cancel()
	summary := n.loop.Summary(ctx)
	lists := n.followers.Lists.Status()
	totals := n.metrics.Totals()
	status := Status{
		Name:         n.cfg.Name,
		Zone:         n.cfg.Zone,
		Ready:        n.Ready() && !n.draining.Load(),
		Draining:     n.draining.Load(),
		Version:      n.state.View().Version,
		NextOffset:   lists.NextOffset,
		EndOffset:    lists.EndOffset,
		LagSeconds:   time.Since(lists.LastRead).Seconds(),
		LogHealthy:   lists.Healthy,
		Waiting:      summary.Waiting,
		OpenRequests: n.loop.OpenRequests(),
		Peers:        summary.Peers,
		Claims:       n.claimer.Stats(),
		Refused:      totals.Refused,
		Retried:      totals.Retried,
		PromptTokens: totals.PromptTokens,
		CachedTokens: totals.CachedTokens,
	}
	now := time.Now()
	for _, u := range summary.Upstreams {
		serves := string(u.Model) + string(u.Service)
		status.Upstreams = append(status.Upstreams, UpstreamStatus{
			Name:    u.ID,
			Kind:    string(u.Kind),
			Zone:    u.Zone,
			Serves:  serves,
			Version: u.Version,
			State:   stateOf(u.Leaving, u.Delisted, now.Before(u.EjectedUntil)),
			Open:    u.Open,
			Running: u.Load.Running,
			Queued:  u.Load.Queued,
		})
	}
	for _, s := range summary.Stores {
		status.Stores = append(status.Stores, StoreStatus{
			Name: s.ID, Zone: s.Zone, State: stateOf(s.Leaving, s.Delisted, now.Before(s.DownUntil)), BytesPerSecond: s.Rate,
		})
	}
	slices.SortFunc(status.Upstreams, func(a, b UpstreamStatus) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(status.Stores, func(a, b StoreStatus) int { return cmp.Compare(a.Name, b.Name) })
	return status
}

func stateOf(leaving, delisted, unavailable bool) string {
	switch {
	case delisted:
		return "gone"
	case leaving:
		return "leaving"
	case unavailable:
		return "out"
	default:
		return "live"
	}
}
