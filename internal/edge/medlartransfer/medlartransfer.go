// Package medlartransfer looks up KV blocks in store instances and exports the KV
// blocks of finished runs to them.
//
// Rules:
//
//	R1  Blocks are reserved, written by the engine and then committed with the
//	    length and checksum that the engine reports; before the commit they cannot
//	    be read.
//	R2  Exports run in the background, a few at a time, and are dropped if too many
//	    are queued. Blocks that were reserved and not committed are freed.
package medlartransfer

import (
	"context"
	"sync"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarinventory"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/upstream/medlarengine"
	"medlarfield/internal/upstream/medlarstore"
)

const (
	lookUpTimeout = 80 * time.Millisecond
	exportWorkers = 2
	exportQueue   = 256
)

// Deps are the functions and clients of the instance that transfers use.
type Deps struct {
	Post    func(medlarworld.Event)
	Engines *medlarengine.Client
	Stores  *medlarstore.Client
	// BlockBytes returns the block size of an engine.
	BlockBytes    func(medlarid.InstanceID) medlarid.Bytes
	BytesMoved    func(direction string, n medlarid.Bytes)
	CallFailed    func(part string)
	ExportDropped func()
}

// Transfer looks up and exports KV blocks. It is safe for concurrent use.
type Transfer struct {
	deps    Deps
	exports chan medlarworld.Export
}

// New returns a Transfer. Exports are made only while Run is running.
func New(d Deps) *Transfer {
	return &Transfer{deps: d, exports: make(chan medlarworld.Export, exportQueue)}
}

// LookUp looks up the blocks of a run in the stores and reports to the core which
// of them the stores have.
func (t *Transfer) LookUp(c medlarworld.LookUp) {
	found := make(chan []medlarinventory.Handle, len(c.Stores))
	for _, sk := range c.Stores {
		go func() { found <- t.lookUpIn(sk) }()
	}
	var handles []medlarinventory.Handle
	for range c.Stores {
		handles = append(handles, <-found...)
	}
	t.deps.Post(medlarworld.LookedUp{Run: c.Run, Handles: handles})
}

// lookUpIn returns the blocks that one store has of the keys.
func (t *Transfer) lookUpIn(sk medlarworld.StoreKeys) []medlarinventory.Handle {
	blocks, err := t.deps.Stores.Find(sk.Address, sk.Keys, lookUpTimeout)
	if err != nil {
		t.deps.CallFailed("store")
		t.deps.Post(medlarworld.TransferEnded{Store: sk.Store, Failed: true})
		return nil
	}
	out := make([]medlarinventory.Handle, 0, len(blocks))
	for _, b := range blocks {
		out = append(out, medlarinventory.Handle{
			Key:        b.Key,
			Store:      sk.Store,
			Slot:       b.Slot,
			Generation: b.Generation,
			Length:     b.Length,
			Checksum:   b.Checksum,
		})
	}
	return out
}

// Export queues an export, or drops it if the queue is full (R2).
func (t *Transfer) Export(c medlarworld.Export) {
	select {
	case t.exports <- c:
	default:
		t.deps.ExportDropped()
	}
}

// Run makes the queued exports until ctx is done.
func (t *Transfer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range exportWorkers {
		wg.Go(func() { t.exportLoop(ctx) })
	}
	wg.Wait()
}

func (t *Transfer) exportLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-t.exports:
			for _, sk := range c.Stores {
				t.exportTo(c, sk)
			}
		}
	}
}

// exportTo exports to one store the blocks that the store does not have yet (R1).
func (t *Transfer) exportTo(c medlarworld.Export, sk medlarworld.StoreKeys) {
	reserved, err := t.reserve(c, sk)
	if err != nil {
		t.deps.CallFailed("store")
		return
	}
	if len(reserved) == 0 {
		return
	}
	started := time.Now()
	written, err := t.deps.Engines.Export(c.Address, engineBlocks(sk, reserved))
	if err != nil {
		t.deps.CallFailed("engine")
	}
	completed, size := matchWritten(reserved, written)
	if len(completed) > 0 && t.commit(sk, completed) {
		t.deps.BytesMoved("export", size)
		t.deps.Post(medlarworld.TransferEnded{Store: sk.Store, Bytes: size, Took: time.Since(started)})
	}
	t.free(sk, reserved, completed)
}

func (t *Transfer) reserve(c medlarworld.Export, sk medlarworld.StoreKeys) ([]medlarstore.Block, error) {
	blocks, err := t.deps.Stores.Reserve(sk.Address, c.Account, sk.Keys, t.deps.BlockBytes(c.Upstream))
	if err != nil {
		return nil, err
	}
	var missing []medlarstore.Block
	for _, b := range blocks {
		if !b.Stored {
			missing = append(missing, b)
		}
	}
	return missing, nil
}

func (t *Transfer) commit(sk medlarworld.StoreKeys, completed []medlarstore.Block) bool {
	if err := t.deps.Stores.Commit(sk.Address, completed); err != nil {
		t.deps.CallFailed("store")
		return false
	}
	return true
}

// free frees the blocks that were reserved and not written.
func (t *Transfer) free(sk medlarworld.StoreKeys, reserved, completed []medlarstore.Block) {
	written := make(map[uint64]bool, len(completed))
	for _, b := range completed {
		written[b.Slot] = true
	}
	var unwritten []medlarstore.Block
	for _, b := range reserved {
		if !written[b.Slot] {
			unwritten = append(unwritten, b)
		}
	}
	if len(unwritten) == 0 {
		return
	}
	if err := t.deps.Stores.Free(sk.Address, unwritten); err != nil {
		t.deps.CallFailed("store")
	}
}

func engineBlocks(sk medlarworld.StoreKeys, reserved []medlarstore.Block) []medlarengine.Block {
	out := make([]medlarengine.Block, len(reserved))
	for i, b := range reserved {
		out[i] = medlarengine.Block{Key: b.Key, Store: sk.Address, Slot: b.Slot, Generation: b.Generation}
	}
	return out
}

// matchWritten returns the reserved blocks that the engine reports as written, with
// their lengths and checksums, and their total size.
func matchWritten(reserved []medlarstore.Block, written []medlarengine.Block) (completed []medlarstore.Block, size medlarid.Bytes) {
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
		completed = append(completed, r)
		size += w.Length
	}
	return completed, size
}
