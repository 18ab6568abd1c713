package medlarschedule_test

import (
	"reflect"
	"testing"
	"time"

	"medlarfield/internal/stand/medlarschedule"
)

// TestSchedule guards against a schedule that differs between two draws, leaves a fault in force or a kind out.
func TestSchedule(t *testing.T) {
	kinds := map[string]bool{}
	for seed := range uint64(100) {
		s := medlarschedule.Settings{Seed: seed, Nodes: 3, Upgrade: seed%4 == 0}
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
		for _, s := range steps {
			if s.Verb == medlarschedule.VerbFault {
				kinds[s.Args[0]] = true
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
