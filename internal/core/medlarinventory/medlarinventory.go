// Package medlarinventory has the types for what stores are believed to hold: blocks of the KV cache, and
// parts of prompts.
package medlarinventory

import (
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
)

// Inventory is what a store that keeps parts of prompts is believed to hold.
type Inventory struct {
	Capacity     medlarid.Tokens // 0 for a store that keeps no parts
	Setup        time.Duration   // setup time of each transfer
	Epoch        uint64          // of the store's start
	FreshUntil   time.Time       // the inventory is not used after this time
	SaveFrom     time.Time       // no part is saved before this time
	Parts        map[medlarkey.Key]medlarid.Tokens
	HeldTokens   medlarid.Tokens               // sum of Parts
	PendingSaves map[medlarkey.Key]PendingSave // parts whose save was requested
}

// PendingSave is a part whose save was requested.
type PendingSave struct {
	Tokens medlarid.Tokens
	Until  time.Time // the save counts as pending until this time
}

// StoredPart is a part that a store holds.
type StoredPart struct {
	Key    medlarkey.Key
	Tokens medlarid.Tokens
}

// Handle locates one KV block in a store.
type Handle struct {
	Key        medlarkey.Key
	Store      medlarid.InstanceID
	Slot       uint64
	Generation uint64
	Length     medlarid.Bytes
	Checksum   uint64
}
