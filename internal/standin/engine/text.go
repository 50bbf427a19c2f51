package engine

import (
	"crypto/sha256"
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// syllables are the parts of the output words.
var syllables = [...]string{
	"ba", "ce", "di", "fo", "gu", "ha", "je", "ki",
	"lo", "mu", "na", "pe", "ri", "so", "tu", "ve",
}

// promptDigest identifies a prompt.
type promptDigest [sha256.Size]byte

func digestPrompt(prompt string) promptDigest { return sha256.Sum256([]byte(prompt)) }

// token returns output token seq of the prompt. It depends on these two alone.
func (d promptDigest) token(seq int) string {
	var buf [sha256.Size + 8]byte
	copy(buf[:], d[:])
	binary.LittleEndian.PutUint64(buf[sha256.Size:], uint64(seq))
	sum := xxhash.Sum64(buf[:])
	var word strings.Builder
	for range 4 {
		word.WriteString(syllables[sum%uint64(len(syllables))])
		sum /= uint64(len(syllables))
	}
	word.WriteByte(' ')
	return word.String()
}

// ExpectedText returns the first n output tokens for a prompt. The text is the same for
// every engine and weight version, so that a caller can verify that it received the
// complete answer to its own prompt.
func ExpectedText(prompt string, n int) string {
	digest := digestPrompt(prompt)
	var text strings.Builder
	for seq := range n {
		text.WriteString(digest.token(seq))
	}
	return text.String()
}
