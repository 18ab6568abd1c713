// Package medlarkey computes the keys of KV blocks.
//
// Rules:
//
//	R1  A prompt is cut into blocks of BlockTokens tokens; only whole blocks
//	    have keys.
//	R2  The key of a block is a hash of the key before it and of its text. The
//	    first one starts from a salt of client account, model, adapter and
//	    weight version, so no block matches across any of them.
package medlarkey

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/zeebo/xxh3"

	"medlarfield/internal/base/medlarid"
)

// BlockTokens is the number of tokens of one KV block.
const BlockTokens medlarid.Tokens = 64

// bytesPerToken is the length of a token of text, for prompts whose tokens the
// system does not see.
const bytesPerToken = 4

// blockBytes is the length of the text of one block.
const blockBytes = int(BlockTokens) * bytesPerToken

// keyBytes is the length of a key.
const keyBytes = 16

// Key identifies the content of one KV block and all blocks before it.
type Key [keyBytes]byte

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// MarshalText writes the key in hexadecimal.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads a key in hexadecimal.
func (k *Key) UnmarshalText(b []byte) error {
	if hex.DecodedLen(len(b)) != keyBytes {
		return hex.ErrLength
	}
	_, err := hex.Decode(k[:], b)
	return err
}

// Salt is the start of a chain of keys (R2).
type Salt Key

// NewSalt returns the salt of a client account's prompts to one weight version
// of a model and adapter. Each field goes in with its length, so that no two
// different sets of fields give the same input.
func NewSalt(a medlarid.AccountID, m medlarid.ModelID, ad medlarid.AdapterID, v medlarid.WeightVersion) Salt {
	h := sha256.New()
	for _, field := range []string{string(a), string(m), string(ad), string(v)} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(field)))
		h.Write(n[:])
		h.Write([]byte(field))
	}
	var s Salt
	copy(s[:], h.Sum(nil))
	return s
}

// String returns the salt in hexadecimal.
func (s Salt) String() string { return Key(s).String() }

// Chain returns the keys of the whole blocks of text (R1).
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

// CountTokens returns the number of tokens of text.
func CountTokens(text string) medlarid.Tokens {
	return medlarid.Tokens((len(text) + bytesPerToken - 1) / bytesPerToken)
}

// SegmentBlocks is the number of blocks of a segment of a chain.
const SegmentBlocks = 16

// Conversation returns the key that stands for a chain's conversation: the last one
// of its first segment, which stays as the conversation goes on. keys is not empty.
func Conversation(keys []Key) Key { return keys[min(SegmentBlocks, len(keys))-1] }

// Rendezvous returns the rank of a holder for a key: the holder with the highest
// rank is the key's home, and losing a holder moves only its own keys.
func Rendezvous(k Key, holder medlarid.InstanceID) uint64 {
	seed := binary.BigEndian.Uint64(k[:8])
	return xxh3.HashStringSeed(string(holder), seed)
}

// CacheSalt is the text that keeps cached parts of prompts apart: those of weight
// versions, and those of accounts that share nothing.
type CacheSalt string

// NewCacheSalt returns the salt of a weight version, for one account alone or, with
// an empty account, for all that share.
func NewCacheSalt(v medlarid.WeightVersion, alone medlarid.AccountID) CacheSalt {
	if alone == "" {
		return CacheSalt("v" + v)
	}
	return CacheSalt("v" + string(v) + "/" + string(alone))
}

// Version returns the weight version of the salt, or an empty one for a salt that is
// not the system's.
func (s CacheSalt) Version() medlarid.WeightVersion {
	v, ok := strings.CutPrefix(string(s), "v")
	if !ok {
		return ""
	}
	v, _, _ = strings.Cut(v, "/")
	return medlarid.WeightVersion(v)
}

// Part returns the key of one part of a prompt that callers name.
func Part(salt CacheSalt, m medlarid.ModelID, id string) Key {
	return Key(xxh3.HashString128(string(salt) + "\x00" + string(m) + "\x00" + id).Bytes())
}
