// Package medlartrial tries the whole path in one process: a long dossier is
// opened, evicted from every engine, and returned to through other instances,
// with kept context and without.
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

// Size of the trial.
const (
	nodes         = 3
	dossierTokens = 8000
	answerTokens  = 24
	speed         = 4
	keepTimeout   = 5 * time.Second
	gap           = 300 * time.Millisecond
)

// step is one request of the trial.
type step struct {
	name    string
	first   time.Duration
	cached  medlarid.Tokens
	prompt  medlarid.Tokens
	moved   medlarid.Bytes
	text    string
	request medlarid.RequestID
}

// recomputed returns the share of the prompt that was computed.
func (s step) recomputed() float64 { return 1 - float64(s.cached)/float64(s.prompt) }

// Run makes the trial and prints its table. The error says what was not as it
// must be.
func Run(w io.Writer) error {
	with, err := run(true)
	if err != nil {
		return eris.Wrap(err, "with kept context")
	}
	without, err := run(false)
	if err != nil {
		return eris.Wrap(err, "without kept context")
	}
	printTable(w, with, without)
	return judge(with, without)
}

// run makes the steps of the trial once.
func run(contexts bool) ([]step, error) {
	cfg := medlartestbed.Default()
	cfg.Speed = speed
	cfg.Engine = func(e *medlarfakeengine.Settings) { e.Lag = 50 * time.Millisecond }
	stage, err := medlartestbed.New(cfg)
	if err != nil {
		return nil, err
	}
	defer stage.Close()
	lists, err := medlartestbed.Lists()
	if err != nil {
		return nil, err
	}
	if _, err := stage.Publish(lists); err != nil {
		return nil, err
	}
	var entry []*medlartestbed.RunningNode
	for i := range nodes {
		settings := stage.NodeSettings(i)
		settings.Routing.Contexts = contexts
		n, err := stage.StartNode(settings, io.Discard)
		if err != nil {
			return nil, err
		}
		entry = append(entry, n)
	}
	defer func() {
		for _, n := range entry {
			_ = n.Stop(time.Second)
		}
	}()
	t := &trial{stage: stage, entry: entry, client: medlarclient.New(medlartestbed.Key), contexts: contexts}
	return t.steps()
}

// trial is one run of the steps.
type trial struct {
	stage    *medlartestbed.Testbed
	entry    []*medlartestbed.RunningNode
	client   *medlarclient.Client
	contexts bool
}

func (t *trial) steps() ([]step, error) {
	dossier := RandomText(1, dossierTokens)
	opened, err := t.ask("dossier opened", 0, dossier)
	if err != nil {
		return nil, err
	}
	if err := t.waitKept(); err != nil {
		return nil, err
	}
	t.stage.Evict()
	time.Sleep(gap) // callers return after a while; cache events are late
	dossier += opened.text + RandomText(2, 64)
	returned, err := t.ask("returned after eviction, other instance", 1, dossier)
	if err != nil {
		return nil, err
	}
	served, err := t.servedBy(returned.request)
	if err != nil {
		return nil, err
	}
	if err := t.stage.Kill(served); err != nil {
		return nil, err
	}
	dossier += returned.text + RandomText(3, 64)
	again, err := t.ask("returned after its replica was killed", 2, dossier)
	if err != nil {
		return nil, err
	}
	return []step{opened, returned, again}, nil
}

// ask sends a prompt to an instance and checks that the answer is whole.
func (t *trial) ask(name string, instance int, prompt string) (step, error) {
	before := t.moved()
	r, err := t.client.Complete(t.entry[instance].Address(), medlarclient.Prompt{
		Model: "casework", Text: prompt, Max: answerTokens, Stream: true,
	})
	if err != nil {
		return step{}, eris.Wrap(err, name)
	}
	if !r.Complete || r.Parts != answerTokens {
		return step{}, eris.Errorf("%s: status %d, reason %q, %d parts of %d", name, r.Status, r.Reason, r.Parts, answerTokens)
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

func (t *trial) moved() (n medlarid.Bytes) {
	for _, s := range t.stage.Stores {
		n += s.Moved()
	}
	return n
}

// waitKept waits until the dossier's blocks are in the stores and no transfer is
// under way.
func (t *trial) waitKept() error {
	if !t.contexts {
		return nil
	}
	want := dossierTokens / 64
	for until := time.Now().Add(keepTimeout); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		kept := 0
		for _, s := range t.stage.Stores {
			kept += s.Blocks()
		}
		if kept >= want {
			return nil
		}
	}
	return eris.Errorf("the stores do not hold the dossier after %v", keepTimeout)
}

func (t *trial) servedBy(id medlarid.RequestID) (string, error) {
	for _, e := range t.stage.Engines {
		if e.Counts()[id] > 0 {
			return e.Host.Part, nil
		}
	}
	return "", eris.Errorf("no engine ran %s", id)
}

// judge compares the answers of both runs, and the share recomputed on return.
func judge(with, without []step) error {
	for i := range with {
		if with[i].text != without[i].text {
			return eris.Errorf("%s: the answers differ with and without kept context", with[i].name)
		}
	}
	for _, s := range with[1:] {
		if s.recomputed() > 0.1 {
			return eris.Errorf("%s: %.0f%% of the prompt was recomputed", s.name, 100*s.recomputed())
		}
	}
	return nil
}

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

// RandomText returns a text of n tokens that depends on seed.
func RandomText(seed uint64, n int) string {
	r := rand.New(rand.NewPCG(seed, seed))
	var b strings.Builder
	for range n {
		b.WriteString([]string{"dues", "paid", "note", "fund", "year", "sum ", "due ", "book"}[r.IntN(8)])
	}
	return b.String()
}
