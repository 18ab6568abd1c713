package medlartestbed

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"medlarfield/internal/agree/medlarlist"
	"medlarfield/internal/agree/medlarpublish"
	"medlarfield/internal/agree/medlarrecord"
	"medlarfield/internal/agree/medlarstate"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarjson"
	"medlarfield/internal/ops/medlarnode"
	"medlarfield/internal/ops/medlarsettings"
	"medlarfield/internal/upstream/medlarinstance"
)

// Key is the bearer key of the account "parish" in the lists that Lists returns;
// OtherKey is that of the account "index".
const (
	Key      = "parish-key"
	OtherKey = "index-key"
)

// readyTimeout bounds the wait for an instance to become ready, and a publication.
const readyTimeout = 5 * time.Second

// plansText and usesText are the initial lists of a test bed. The digests are those of
// Key and OtherKey.
const (
	plansText = `{
  "accounts": {
    "parish": {"plan": "standard", "keys": ["fac4c3d58ab339783ccdcfc8198339d52466ddc8ef503c1910f6ff3bc1e603df"]},
    "index": {"plan": "standard", "keys": ["d828d4275acb141b3ab43e49e3f2478f71d1048b4c7442cc2e5cc13187981cd2"]},
  },
}`
	usesText = `{
  "plans": {"standard": {"models": ["casework"], "services": ["ledger"]}},
  "models": {"casework": {"version": "v1"}},
  "services": {"ledger": {"once": ["POST"]}},
}`
)

// RunningNode is an entry instance that runs in this process.
type RunningNode struct {
	*medlarnode.Node

	stop func(context.Context) error
}

// Stop shuts the instance down gracefully, within a time limit.
func (n *RunningNode) Stop(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return n.stop(ctx)
}

// Lists returns the initial lists of a test bed.
func Lists() (*medlarlist.Lists, error) {
	plans, err := medlarjson.Parse("plans", []byte(plansText))
	if err != nil {
		return nil, err
	}
	uses, err := medlarjson.Parse("uses", []byte(usesText))
	if err != nil {
		return nil, err
	}
	return medlarlist.Parse(plans, uses)
}

// Publish publishes lists on the log, as a change of the version in force, and returns
// the new version.
func (s *Testbed) Publish(lists *medlarlist.Lists) (medlarid.Offset, error) {
	state := medlarstate.New()
	catchUp := func() *medlarstate.View {
		b := s.Log.Read(medlarrecord.StreamLists, state.View().NextOffset, 1<<20, 0)
		for _, e := range b.Records {
			_ = state.Apply(e)
		}
		return state.View()
	}
	v := catchUp()
	appendLists := func(records ...[]byte) (medlarid.Offset, error) {
		return s.Log.Append(medlarrecord.StreamLists, records...), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	res := medlarpublish.New("stage", appendLists, catchUp).Publish(ctx, medlarpublish.Request{
		Base: v.Version, Change: medlarlist.Diff(v.Lists, lists), Digest: lists.Digest, User: "stage",
	})
	if res.Outcome != medlarpublish.OutcomeAccepted {
		return 0, eris.Errorf("publish lists: %s %s", res.Outcome, res.Verdict.Reject)
	}
	return res.Verdict.Offset, nil
}

// NodeSettings returns the settings of entry instance n, counted from 0, on this test
// bed.
func (s *Testbed) NodeSettings(n int) medlarsettings.Settings {
	cfg := medlarsettings.Default()
	cfg.Name = medlarid.InstanceID(fmt.Sprintf("entry-%d", n+1))
	cfg.Zone = s.zone(n)
	cfg.Listen = medlarid.Address(s.cfg.IP + ":0")
	cfg.Status = medlarid.Address(s.cfg.IP + ":0")
	cfg.Platform.Log = s.LogServer.Address
	cfg.Platform.Instances = s.ListServer.Address
	cfg.Platform.Weights = s.WeightsServer.Address
	cfg.Platform.PollInterval = medlarid.Duration(50 * time.Millisecond)
	cfg.Platform.MaxCallsPerSecond = 1000
	return cfg
}

// StartNode starts an entry instance, adds it to the instance list, and waits until it
// is ready and knows every upstream and store.
func (s *Testbed) StartNode(cfg medlarsettings.Settings, log io.Writer) (*RunningNode, error) {
	node, err := medlarnode.New(cfg, log)
	if err != nil {
		return nil, err
	}
	stop, err := node.Start(context.Background())
	if err != nil {
		return nil, err
	}
	s.List.Put(medlarinstance.Instance{
		ID: cfg.Name, Role: medlarinstance.RoleEntry, Zone: cfg.Zone, Address: node.Address(), PeerAddress: node.PeerAddress(),
	})
	until := time.Now().Add(readyTimeout)
	for !s.nodeReady(node) {
		if time.Now().After(until) {
			return nil, eris.Errorf("instance %s is not ready after %v", cfg.Name, readyTimeout)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return &RunningNode{Node: node, stop: stop}, nil
}

// nodeReady reports whether a node is ready, lists every store, and has a status report
// from every engine. Plain services count once they are listed.
func (s *Testbed) nodeReady(node *medlarnode.Node) bool {
	if !node.Ready() {
		return false
	}
	status := node.Status()
	known := len(status.Stores)
	for _, u := range status.Upstreams {
		if u.Kind == "service" || u.Version != "" {
			known++
		}
	}
	return known >= s.cfg.Engines+s.cfg.Services+s.cfg.Stores
}
