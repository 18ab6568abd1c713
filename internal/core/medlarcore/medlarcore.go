// Package medlarcore is the decision core of an instance: it runs the systems of the
// core over its tables.
package medlarcore

import (
	"time"

	"medlarfield/internal/core/medlaradmission"
	"medlarfield/internal/core/medlarbrittle"
	"medlarfield/internal/core/medlarcrash"
	"medlarfield/internal/core/medlardesired"
	"medlarfield/internal/core/medlarexplain"
	"medlarfield/internal/core/medlarfleet"
	"medlarfield/internal/core/medlarlag"
	"medlarfield/internal/core/medlarlimit"
	"medlarfield/internal/core/medlaroffload"
	"medlarfield/internal/core/medlarpace"
	"medlarfield/internal/core/medlarpeerload"
	"medlarfield/internal/core/medlarplacement"
	"medlarfield/internal/core/medlarresume"
	"medlarfield/internal/core/medlarretry"
	"medlarfield/internal/core/medlarroute"
	"medlarfield/internal/core/medlarwindow"
	"medlarfield/internal/core/medlarwithdraw"
	"medlarfield/internal/core/medlarworld"
)

// Intervals between ticks when there are no events.
const (
	busyInterval = 10 * time.Millisecond  // while runs wait, or it is about to be decided whether parts of prompts crash replicas
	openInterval = 100 * time.Millisecond // while attempts are in flight, if other instances are told of them
	idleInterval = time.Second
)

// system is one step of a tick.
type system interface {
	Run(w *medlarworld.World)
}

// Core makes an instance's decisions. It does no I/O and is deterministic: the same
// events at the same times give the same commands. It must be used by only one
// goroutine.
type Core struct {
	world   *medlarworld.World
	systems []system
	crashes *medlarcrash.System // one of systems
}

// New returns a core with empty tables.
func New(cfg medlarworld.Config) *Core {
	admit, crashes := medlaradmission.New(), medlarcrash.New()
	return &Core{
		world:   medlarworld.New(cfg),
		crashes: crashes,
		systems: []system{ // run in this order
			medlardesired.New(),
			medlarfleet.New(),
			medlarpeerload.New(),
			medlarlimit.New(),
			medlarbrittle.New(),
			medlarpace.New(),
			medlarplacement.New(),
			medlarlag.New(),
			medlarwindow.New(),
			crashes,
			medlarresume.New(),
			medlarretry.New(),
			medlarwithdraw.New(),
			admit,
			medlaroffload.New(),
			medlarroute.New(admit.Started),
			medlarexplain.New(admit),
		},
	}
}

// World returns the tables, which may be read only between ticks.
func (c *Core) World() *medlarworld.World { return c.world }

// Tick handles events at a time and returns the resulting commands. The slice is valid
// until the next tick.
func (c *Core) Tick(now time.Time, events []medlarworld.Event) []medlarworld.Command {
	w := c.world
	w.Now = now
	w.Events = events
	w.Commands = w.Commands[:0]
	for _, s := range c.systems {
		s.Run(w)
	}
	return w.Commands
}

// Next returns the time until the next tick if no events arrive.
func (c *Core) Next() time.Duration {
	if len(c.world.Waiting) > 0 || len(c.world.LookingUp) > 0 || c.world.Suspects.Pending() || c.crashes.Pending() || c.world.Builds.Pending() {
		return busyInterval
	}
	if c.world.Config.TellLoad && len(c.world.Runs) > 0 {
		return openInterval
	}
	return idleInterval
}
