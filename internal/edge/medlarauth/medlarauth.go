// Package medlarauth authenticates client accounts by their bearer keys. Keys are
// never stored: the lists contain only their SHA-256 digests.
package medlarauth

import (
	"crypto/sha256"
	"strings"

	"medlarfield/internal/agree/medlarlist"
	"medlarfield/internal/base/medlarid"
)

const bearerPrefix = "bearer "

// Digest returns the digest of a key as it is stored in the plans list.
func Digest(key string) medlarlist.KeyDigest { return sha256.Sum256([]byte(key)) }

// Authenticate returns the account that the value of an Authorization header belongs
// to; ok is false if the key is missing or belongs to no account.
func Authenticate(l *medlarlist.Lists, header string) (id medlarid.AccountID, ok bool) {
	if len(header) <= len(bearerPrefix) || !strings.EqualFold(header[:len(bearerPrefix)], bearerPrefix) {
		return "", false
	}
	return l.AccountByKey(Digest(strings.TrimSpace(header[len(bearerPrefix):])))
}
