// Package medlartrial runs an end-to-end trial in one process: a long prompt is sent,
// its KV blocks are evicted from every engine, and the prompt is continued through
// other entry instances, with and without KV offload to the stores.
package medlartrial

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/stand/medlarclient"
	"medlarfield/internal/stand/medlarfakeengine"
	"medlarfield/internal/stand/medlartestbed"
)

// Parameters of the trial.
const (
	nodes          = 3
	promptTokens   = 8000
	responseTokens = 24
	speed          = 4
	offloadTimeout = 5 * time.Second
	returnDelay    = 300 * time.Millisecond
)

// step is the result of one request of the trial.
type step struct {
	name    string
	first   time.Duration
	cached  medlarid.Tokens
	prompt  medlarid.Tokens
	moved   medlarid.Bytes
	text    string
	request medlarid.RequestID
}

// recomputed returns the share of the prompt's tokens that were not cached.
func (s step) recomputed() float64 { return 1 - float64(s.cached)/float64(s.prompt) }

// Run runs the trial with and without KV offload and prints a table of both runs. It
// returns an error if the responses of the runs differ, or if more than a tenth of a
// prompt was recomputed after a return with KV offload.
func Run(w io.Writer) error {
	with, err := run(true)
	if err != nil {
		return eris.Wrap(err, "with KV offload")
	}
	without, err := run(false)
	if err != nil {
		return eris.Wrap(err, "without KV offload")
	}
	printTable(w, with, without)
	return checkSteps(with, without)
}

// run sets up a test bed and runs the steps of the trial on it.
func run(offload bool) ([]step, error) {
	cfg := medlartestbed.Default()
	cfg.Speed = speed
	cfg.Engine = func(e *medlarfakeengine.Settings) { e.Lag = 50 * time.Millisecond }
	testbed, err := medlartestbed.New(cfg)
	if err != nil {
		return nil, err
	}
	defer testbed.Close()
	lists, err := medlartestbed.Lists()
	if err != nil {
		return nil, err
	}
	if _, err := testbed.Publish(lists); err != nil {
		return nil, err
	}
	var entries []*medlartestbed.RunningNode
	for i := range nodes {
		settings := testbed.NodeSettings(i)
		settings.Routing.Contexts = offload
		n, err := testbed.StartNode(settings, io.Discard)
		if err != nil {
			return nil, err
		}
		entries = append(entries, n)
	}
	defer func() {
		for _, n := range entries {
			_ = n.Stop(time.Second)
		}
	}()
	t := &trial{testbed: testbed, entries: entries, client: medlarclient.New(medlartestbed.Key), offload: offload}
	return t.steps()
}

// trial is the state of one run.
type trial struct {
	testbed *medlartestbed.Testbed
	entries []*medlartestbed.RunningNode
	client  *medlarclient.Client
	offload bool
}

func (t *trial) steps() ([]step, error) {
	prompt := RandomText(1, promptTokens)
	opened, err := t.ask("first request", 0, prompt)
	if err != nil {
		return nil, err
	}
	if err := t.waitOffloaded(); err != nil {
		return nil, err
	}
	t.testbed.Evict()
	time.Sleep(returnDelay) // a caller returns after a pause, and cache events arrive late
	prompt += opened.text + RandomText(2, 64)
	returned, err := t.ask("after eviction, other instance", 1, prompt)
	if err != nil {
		return nil, err
	}
	served, err := t.servedBy(returned.request)
	if err != nil {
		return nil, err
	}
	if err := t.testbed.Kill(served); err != nil {
		return nil, err
	}
	prompt += returned.text + RandomText(3, 64)
	again, err := t.ask("after the replica was killed", 2, prompt)
	if err != nil {
		return nil, err
	}
	return []step{opened, returned, again}, nil
}

// ask sends a prompt to an instance and checks that the response is complete.
func (t *trial) ask(name string, instance int, prompt string) (step, error) {
	before := t.moved()
	r, err := t.client.Complete(t.entries[instance].Address(), medlarclient.Prompt{
		Model: "casework", Text: prompt, MaxTokens: responseTokens, Stream: true,
	})
	if err != nil {
		return step{}, eris.Wrap(err, name)
	}
	if !r.Complete || r.Parts != responseTokens {
		return step{}, eris.Errorf("%s: incomplete response: status %d, reason %q, %d of %d parts", name, r.Status, r.Reason, r.Parts, responseTokens)
	}
	return step{
		name:    name,
		first:   r.TimeToFirstToken,
		cached:  r.Usage.Cached,
		prompt:  r.Usage.Prompt,
		moved:   t.moved() - before,
		text:    r.Text,
		request: r.Request,
	}, nil
}

// moved returns the bytes that the stores have transferred.
func (t *trial) moved() (n medlarid.Bytes) {
	for _, s := range t.testbed.Stores {
		n += s.Moved()
	}
	return n
}

// waitOffloaded waits until the stores hold as many blocks as the first prompt has, unless
// KV offload is off. Only committed blocks count, so their transfers have ended.
func (t *trial) waitOffloaded() error {
	if !t.offload {
		return nil
	}
	want := promptTokens / 64
	for until := time.Now().Add(offloadTimeout); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		stored := 0
		for _, s := range t.testbed.Stores {
			stored += s.Blocks()
		}
		if stored >= want {
			return nil
		}
	}
	return eris.Errorf("the stores do not hold the prompt's blocks after %v", offloadTimeout)
}

// servedBy returns the engine that ran a request.
func (t *trial) servedBy(id medlarid.RequestID) (string, error) {
	for _, e := range t.testbed.Engines {
		if e.Counts()[id] > 0 {
			return e.Server.Part, nil
		}
	}
	return "", eris.Errorf("no engine ran request %s", id)
}

// checkSteps checks that both runs got the same responses, and that with KV offload at most
// a tenth of each later prompt was recomputed.
func checkSteps(with, without []step) error {
	for i := range with {
		if with[i].text != without[i].text {
			return eris.Errorf("%s: the responses differ with and without KV offload", with[i].name)
		}
	}
	for _, s := range with[1:] {
		if s.recomputed() > 0.1 {
			return eris.Errorf("%s: %.0f%% of the prompt was recomputed", s.name, 100*s.recomputed())
		}
	}
	return nil
}

// printTable prints the steps of both runs side by side.
func printTable(w io.Writer, with, without []step) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "\tfirst token\trecomputed\tlink MB\t|\twithout: first token\trecomputed\tlink MB\t")
	for i := range with {
		a, b := with[i], without[i]
		_, _ = fmt.Fprintf(t, "%s\t%v\t%.0f%%\t%d\t|\t%v\t%.0f%%\t%d\t\n",
			a.name, a.first.Round(time.Millisecond), 100*a.recomputed(), a.moved>>20,
			b.first.Round(time.Millisecond), 100*b.recomputed(), b.moved>>20)
	}
	_ = t.Flush()
}

// RandomText returns a text of n tokens, generated from seed.
func RandomText(seed uint64, n int) string {
	r := rand.New(rand.NewPCG(seed, seed))
	var b strings.Builder
	for range n {
		b.WriteString([]string{"dues", "paid", "note", "fund", "year", "sum ", "due ", "book"}[r.IntN(8)])
	}
	return b.String()
}
