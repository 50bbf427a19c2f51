// Package block identifies blocks of KV cache.
//
// A prompt is divided into blocks of TokensPerBlock tokens. A block's hash covers the
// organisation's cache salt, the model, the weight version and all tokens up to the
// block's end, so equal hashes mean equal context. Neither another organisation nor another
// weight version can match a block. Engines use the same hashes in their prefix caches and
// cache events.
package block

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

const (
	// BytesPerToken is the assumed size of a token in prompt bytes.
	BytesPerToken = 4
	// TokensPerBlock is the number of tokens in one block of KV cache.
	TokensPerBlock = 64
	// BytesPerBlock is the number of prompt bytes that one block covers.
	BytesPerBlock = BytesPerToken * TokensPerBlock
	// hashSize is the size of a Hash in bytes: 128 bits of SHA-256.
	hashSize = 16
)

// Hash identifies a block together with all blocks before it.
type Hash [hashSize]byte

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText implements encoding.TextMarshaler.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil {
		return errors.Wrap(err, "block hash")
	}
	if len(raw) != hashSize {
		return errors.Newf("block hash: want %d bytes, got %d", hashSize, len(raw))
	}
	copy(h[:], raw)
	return nil
}

// Scope is the scope of a block beyond its content. Its salt is derived from the
// organisation, so that organisations never share a scope.
type Scope struct {
	Org     request.OrgID
	Model   request.Model
	Version request.Version
}

// Salt returns the cache salt that separates this scope from all others.
func (s Scope) Salt() string {
	d := sha256.New()
	for _, part := range []string{string(s.Org), string(s.Model), string(s.Version)} {
		var n [8]byte
		binary.LittleEndian.PutUint64(n[:], uint64(len(part)))
		d.Write(n[:])
		d.Write([]byte(part))
	}
	return hex.EncodeToString(d.Sum(nil)[:hashSize])
}

// Tokens returns the number of tokens in a prompt of n bytes.
func Tokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }

// Chain returns the hashes of all complete blocks of prompt under salt, in order.
func Chain(salt string, prompt []byte) []Hash {
	count := len(prompt) / BytesPerBlock
	chain := make([]Hash, 0, count)
	previous := sha256.Sum256([]byte(salt))
	for i := 0; i < count; i++ {
		d := sha256.New()
		d.Write(previous[:])
		d.Write(prompt[i*BytesPerBlock : (i+1)*BytesPerBlock])
		d.Sum(previous[:0])
		var h Hash
		copy(h[:], previous[:hashSize])
		chain = append(chain, h)
	}
	return chain
}
