// Package medlartransfer finds kept context in store instances and exports
// finished context to them.
//
// Rules:
//
//	R1  Blocks are reserved, filled by the engine and then committed with the
//	    length and checksum that the engine reports; until then no reader can
//	    get them.
//	R2  Exports are in the background: few at a time, and dropped when too many
//	    wait. What was reserved and not committed is freed.
package medlartransfer

import (
	"context"
	"sync"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/upstream/medlarengine"
	"medlarfield/internal/upstream/medlarstore"
)

// Parameters of transfers.
const (
	findWithin    = 80 * time.Millisecond
	exportWorkers = 2
	exportQueue   = 256
)

// Deps are what transfers use of their instance.
type Deps struct {
	Post    func(medlarworld.Event)
	Engines *medlarengine.Client
	Stores  *medlarstore.Client
	// BlockBytes returns the size of a block of an engine.
	BlockBytes    func(medlarid.InstanceID) medlarid.Bytes
	BytesMoved    func(direction string, n medlarid.Bytes)
	CallFailed    func(part string)
	ExportDropped func()
}

// Transfer moves context. It is safe for concurrent use.
type Transfer struct {
	seams   Deps
	exports chan medlarworld.Export
}

// New returns a transfer. Run must be running for exports to be made.
func New(s Deps) *Transfer {
	return &Transfer{seams: s, exports: make(chan medlarworld.Export, exportQueue)}
}

// LookUp asks the stores for a run's kept blocks and reports what they have.
func (t *Transfer) LookUp(c medlarworld.LookUp) {
	answers := make(chan []medlarworld.Handle, len(c.Stores))
	for _, a := range c.Stores {
		go func() { answers <- t.ask(a) }()
	}
	var all []medlarworld.Handle
	for range c.Stores {
		all = append(all, <-answers...)
	}
	t.seams.Post(medlarworld.LookedUp{Run: c.Run, Handles: all})
}

// ask returns what one store has of its keys.
func (t *Transfer) ask(a medlarworld.StoreKeys) []medlarworld.Handle {
	blocks, err := t.seams.Stores.Find(a.Address, a.Keys, findWithin)
	if err != nil {
		t.seams.CallFailed("store")
		t.seams.Post(medlarworld.TransferEnded{Store: a.Store, Failed: true})
		return nil
	}
	out := make([]medlarworld.Handle, 0, len(blocks))
	for _, b := range blocks {
		out = append(out, medlarworld.Handle{
			Key:        b.Key,
			Store:      a.Store,
			Slot:       b.Slot,
			Generation: b.Generation,
			Length:     b.Length,
			Checksum:   b.Checksum,
		})
	}
	return out
}

// Export queues an export; it drops it when too many wait (R2).
func (t *Transfer) Export(c medlarworld.Export) {
	select {
	case t.exports <- c:
	default:
		t.seams.ExportDropped()
	}
}

// Run makes exports until ctx ends.
func (t *Transfer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range exportWorkers {
		wg.Go(func() { t.work(ctx) })
	}
	wg.Wait()
}

func (t *Transfer) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-t.exports:
			for _, a := range c.Stores {
				t.exportTo(c, a)
			}
		}
	}
}

// exportTo writes the blocks of one store that it does not have yet (R1).
func (t *Transfer) exportTo(c medlarworld.Export, a medlarworld.StoreKeys) {
	reserved, err := t.reserve(c, a)
	if err != nil {
		t.seams.CallFailed("store")
		return
	}
	if len(reserved) == 0 {
		return
	}
	begin := time.Now()
	written, err := t.seams.Engines.Export(c.Address, engineBlocks(a, reserved))
	if err != nil {
		t.seams.CallFailed("engine")
	}
	done, size := match(reserved, written)
	if len(done) > 0 && t.commit(a, done) {
		t.seams.BytesMoved("export", size)
		t.seams.Post(medlarworld.TransferEnded{Store: a.Store, Bytes: size, Took: time.Since(begin)})
	}
	t.free(a, reserved, done)
}

func (t *Transfer) reserve(c medlarworld.Export, a medlarworld.StoreKeys) ([]medlarstore.Block, error) {
	blocks, err := t.seams.Stores.Reserve(a.Address, c.Account, a.Keys, t.seams.BlockBytes(c.Upstream))
	if err != nil {
		return nil, err
	}
	var fresh []medlarstore.Block
	for _, b := range blocks {
		if !b.Stored {
			fresh = append(fresh, b)
		}
	}
	return fresh, nil
}

func (t *Transfer) commit(a medlarworld.StoreKeys, done []medlarstore.Block) bool {
	if err := t.seams.Stores.Commit(a.Address, done); err != nil {
		t.seams.CallFailed("store")
		return false
	}
	return true
}

// free gives back what was reserved and not written.
func (t *Transfer) free(a medlarworld.StoreKeys, reserved, done []medlarstore.Block) {
	written := make(map[uint64]bool, len(done))
	for _, b := range done {
		written[b.Slot] = true
	}
	var rest []medlarstore.Block
	for _, b := range reserved {
		if !written[b.Slot] {
			rest = append(rest, b)
		}
	}
	if len(rest) == 0 {
		return
	}
	if err := t.seams.Stores.Free(a.Address, rest); err != nil {
		t.seams.CallFailed("store")
	}
}

func engineBlocks(a medlarworld.StoreKeys, reserved []medlarstore.Block) []medlarengine.Block {
	out := make([]medlarengine.Block, len(reserved))
	for i, b := range reserved {
		out[i] = medlarengine.Block{Key: b.Key, Store: a.Address, Slot: b.Slot, Generation: b.Generation}
	}
	return out
}

// match returns the reserved blocks that the engine reports as written, with
// their length and checksum, and their size.
func match(reserved []medlarstore.Block, written []medlarengine.Block) (done []medlarstore.Block, size medlarid.Bytes) {
	byKey := make(map[medlarkey.Key]medlarengine.Block, len(written))
	for _, b := range written {
		byKey[b.Key] = b
	}
	for _, r := range reserved {
		w, ok := byKey[r.Key]
		if !ok || w.Slot != r.Slot || w.Generation != r.Generation {
			continue
		}
		r.Length, r.Checksum = w.Length, w.Checksum
		done = append(done, r)
		size += w.Length
	}
	return done, size
}
