// Package medlarkey computes the keys of KV blocks.
//
// Rules:
//
//	R1  A prompt is split into blocks of BlockTokens tokens; only whole blocks have
//	    keys.
//	R2  The key of a block is a hash of the previous block's key and of its own text.
//	    The first block's key is derived from a salt of client account, model, adapter
//	    and weight version, so that no block matches across any of them.
package medlarkey

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"slices"
	"strings"

	"github.com/zeebo/xxh3"

	"medlarfield/internal/base/medlarid"
)

// BlockTokens is the number of tokens of one KV block.
const BlockTokens medlarid.Tokens = 64

// bytesPerToken is the assumed length of a token of text, for prompts that are not
// tokenized here.
const bytesPerToken = 4

// blockBytes is the length of the text of one block, in bytes.
const blockBytes = int(BlockTokens) * bytesPerToken

// keyBytes is the length of a key, in bytes.
const keyBytes = 16

// groupBytes is the length of the hash that names a group of accounts, in bytes.
const groupBytes = 8

// Key identifies the content of one KV block and all blocks before it.
type Key [keyBytes]byte

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// MarshalText encodes the key in hexadecimal.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText decodes a key in hexadecimal.
func (k *Key) UnmarshalText(b []byte) error {
	if hex.DecodedLen(len(b)) != keyBytes {
		return hex.ErrLength
	}
	_, err := hex.Decode(k[:], b)
	return err
}

// Salt is the initial value of a chain of keys (R2).
type Salt Key

// NewSalt returns the salt of a client account's prompts to one weight version
// of a model and adapter. Each field is hashed with its length, so that no two
// different sets of fields give the same input.
func NewSalt(a medlarid.AccountID, m medlarid.ModelID, ad medlarid.AdapterID, v medlarid.WeightVersion) Salt {
	h := sha256.New()
	for _, field := range []string{string(a), string(m), string(ad), string(v)} {
		writeField(h, field)
	}
	var s Salt
	copy(s[:], h.Sum(nil))
	return s
}

// writeField adds a field with its length to a hash.
func writeField(h hash.Hash, field string) {
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(field)))
	h.Write(n[:])
	h.Write([]byte(field))
}

// String returns the salt in hexadecimal.
func (s Salt) String() string { return Key(s).String() }

// Chain returns the chained keys of the whole blocks of text (R1).
func Chain(salt Salt, text string) []Key {
	n := len(text) / blockBytes
	if n == 0 {
		return nil
	}
	keys := make([]Key, n)
	var buf [keyBytes + blockBytes]byte
	copy(buf[:], salt[:])
	for i := range keys {
		copy(buf[keyBytes:], text[i*blockBytes:])
		sum := sha256.Sum256(buf[:])
		copy(keys[i][:], sum[:])
		copy(buf[:], keys[i][:])
	}
	return keys
}

// CountTokens returns the number of tokens of text, estimated from its length.
func CountTokens(text string) medlarid.Tokens {
	return medlarid.Tokens((len(text) + bytesPerToken - 1) / bytesPerToken)
}

// SegmentBlocks is the number of blocks of a segment of a chain.
const SegmentBlocks = 16

// Conversation returns the key that identifies a chain's conversation: the last key of
// its first segment, which does not change as the conversation grows. keys must not be
// empty.
func Conversation(keys []Key) Key { return keys[min(SegmentBlocks, len(keys))-1] }

// Rendezvous returns the rank of a holder for a key by rendezvous hashing: the holder
// with the highest rank is the key's home, and losing a holder moves only the keys whose
// home it was.
func Rendezvous(k Key, holder medlarid.InstanceID) uint64 {
	seed := binary.BigEndian.Uint64(k[:8])
	return xxh3.HashStringSeed(string(holder), seed)
}

// CacheGroup names client accounts that share cached parts of prompts. It is empty for all accounts
// where none is isolated.
type CacheGroup string

// OwnGroup returns the group of one isolated account.
func OwnGroup(a medlarid.AccountID) CacheGroup { return CacheGroup(a) }

// SharedGroup returns the group of all accounts but the isolated ones. Another set of isolated accounts makes
// another group: what an account leaves in the group before it is isolated is of no use to the others afterwards.
// All instances name a group alike, in whatever order they are given the accounts.
func SharedGroup(isolated []medlarid.AccountID) CacheGroup {
	if len(isolated) == 0 {
		return ""
	}
	h := sha256.New()
	for _, a := range slices.Compact(slices.Sorted(slices.Values(isolated))) {
		writeField(h, string(a))
	}
	return CacheGroup("/" + hex.EncodeToString(h.Sum(nil)[:groupBytes]))
}

// CacheSalt separates the cached parts of prompts of different weight versions, and
// those of accounts that share no cache.
type CacheSalt string

// NewCacheSalt returns the salt of a weight version for a group of accounts.
func NewCacheSalt(v medlarid.WeightVersion, g CacheGroup) CacheSalt {
	if g == "" {
		return CacheSalt("v" + v)
	}
	return CacheSalt("v" + string(v) + "/" + string(g))
}

// Version returns the weight version of the salt; empty for a salt that NewCacheSalt did
// not create.
func (s CacheSalt) Version() medlarid.WeightVersion {
	v, ok := strings.CutPrefix(string(s), "v")
	if !ok {
		return ""
	}
	v, _, _ = strings.Cut(v, "/")
	return medlarid.WeightVersion(v)
}

// Part returns the key of a part of a prompt that callers identify by id.
func Part(salt CacheSalt, m medlarid.ModelID, id string) Key {
	return Key(xxh3.HashString128(string(salt) + "\x00" + string(m) + "\x00" + id).Bytes())
}
