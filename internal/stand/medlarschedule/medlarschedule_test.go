package medlarschedule_test

import (
	"reflect"
	"testing"
	"time"

	"medlarfield/internal/stand/medlarschedule"
)

// TestSchedule guards against a schedule that differs between two draws, leaves a fault in force or a kind out.
func TestSchedule(t *testing.T) {
	byName := map[string]bool{ // kinds that are not drawn
		"release-out-of-step": true, "pauses": true, "pauses-beside-cuts": true, "deadly-request": true, "deadly-part": true, "deadly-part-unframed": true,
		"answer-begun-again": true, "answer-twice": true,
		"slow-replicas": true, "stalled-replicas": true, "half-broken": true,
		"half-broken-restarts": true, "refused-restarts": true, "pressing-callers": true,
	}
	kinds := map[string]bool{}
	all := []medlarschedule.Settings{}
	for seed := range uint64(100) {
		all = append(all, medlarschedule.Settings{Seed: seed, Nodes: 3, Upgrade: seed%4 == 0})
	}
	for name := range byName {
		all = append(all, medlarschedule.Settings{Seed: 1, Nodes: 3, Only: name})
	}
	for _, s := range all {
		seed := s.Seed
		steps, err := medlarschedule.New(s)
		if err != nil {
			t.Fatal(err)
		}
		again, _ := medlarschedule.New(s)
		if !reflect.DeepEqual(steps, again) {
			t.Fatalf("seed %d: two schedules", seed)
		}
		if end := steps[len(steps)-1]; end.Verb != medlarschedule.VerbCalm || end.At > 30*time.Second {
			t.Errorf("seed %d ends with %v after %v", seed, end.Verb, end.At)
		}
		for _, step := range steps {
			if step.Verb != medlarschedule.VerbFault {
				continue
			}
			kinds[step.Args[0]] = true
			if byName[step.Args[0]] && s.Only == "" {
				t.Errorf("seed %d: %s was drawn", seed, step.Args[0])
			}
		}
	}
	if len(kinds) != len(medlarschedule.Kinds) {
		t.Errorf("%d kinds were drawn, want %d", len(kinds), len(medlarschedule.Kinds))
	}
	if _, err := medlarschedule.New(medlarschedule.Settings{Nodes: 3, Only: "none"}); err == nil {
		t.Error("a kind that does not exist was drawn")
	}
}
