// Package medlarauth finds the client account behind a bearer key. Keys are
// never kept: the lists hold their SHA-256 digests.
package medlarauth

import (
	"crypto/sha256"
	"strings"

	"medlarfield/internal/agree/medlarlist"
	"medlarfield/internal/base/medlarid"
)

const bearer = "bearer "

// Digest returns the digest of a key as the plans list has it.
func Digest(key string) medlarlist.KeyDigest { return sha256.Sum256([]byte(key)) }

// Authenticate returns the account that the value of an Authorization header belongs
// to; ok is false when the key is missing or belongs to none.
func Authenticate(l *medlarlist.Lists, header string) (id medlarid.AccountID, ok bool) {
	if len(header) <= len(bearer) || !strings.EqualFold(header[:len(bearer)], bearer) {
		return "", false
	}
	return l.AccountByKey(Digest(strings.TrimSpace(header[len(bearer):])))
}
