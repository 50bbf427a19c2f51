package platform

import (
	"bytes"
	"encoding/binary"
)

// writeID identifies one write. It is random, so that no two writes share it.
type writeID [16]byte

// written is an earlier write of a key: its identity and the revision that it got.
type written struct {
	id       writeID
	revision Revision
}

// historyLength is the number of earlier writes that a value names. A write whose
// answer was lost stays provable until that many writes went over it.
const historyLength = 8

var envelopeMagic = []byte("bsw1")

const (
	envelopeEntrySize = 16 + 8
	// EnvelopeOverhead is the most that CompareAndSwap adds to a value, in bytes.
	EnvelopeOverhead = 4 + 1 + 16 + historyLength*envelopeEntrySize
)

// envelope wraps a value with the identity of its write and of those before it.
// The service's answer to a write can be lost; the identity in the value is how
// the writer finds out whether the write took effect, even after another writer
// went over it, because each writer carries on the identities that it replaced.
type envelope struct {
	id      writeID
	history []written // newest first
	payload []byte
}

func (e envelope) encode() []byte {
	out := make([]byte, 0, EnvelopeOverhead+len(e.payload))
	out = append(out, envelopeMagic...)
	out = append(out, e.id[:]...)
	out = append(out, byte(len(e.history)))
	for _, w := range e.history {
		out = append(out, w.id[:]...)
		out = binary.BigEndian.AppendUint64(out, uint64(w.revision))
	}
	return append(out, e.payload...)
}

// decodeEnvelope also takes values that another tool wrote without an envelope.
func decodeEnvelope(value []byte) envelope {
	rest, ok := bytes.CutPrefix(value, envelopeMagic)
	if !ok || len(rest) < len(writeID{})+1 {
		return envelope{payload: value}
	}
	var e envelope
	rest = rest[copy(e.id[:], rest):]
	n := int(rest[0])
	rest = rest[1:]
	if len(rest) < n*envelopeEntrySize {
		return envelope{payload: value}
	}
	for range n {
		var w written
		copy(w.id[:], rest)
		w.revision = Revision(binary.BigEndian.Uint64(rest[len(w.id):]))
		e.history = append(e.history, w)
		rest = rest[envelopeEntrySize:]
	}
	e.payload = rest
	return e
}

// successorHistory is the history of the write that follows e, which is at revision.
func (e envelope) successorHistory(revision Revision) []written {
	out := append([]written{{id: e.id, revision: revision}}, e.history...)
	return out[:min(len(out), historyLength)]
}

// verdict is what a value read after a lost answer tells of the lost write.
type verdict int

const (
	verdictUnknown verdict = iota
	verdictApplied
	verdictNotApplied
)

// settle judges a write that expected revision expect from the value now current.
// Deleting a key ends its history, so only a history that reaches back to expect
// proves that the write was not applied.
func settle(id writeID, expect Revision, current envelope, revision Revision) (verdict, Revision) {
	if current.id == id {
		return verdictApplied, revision
	}
	for _, w := range current.history {
		if w.id == id {
			return verdictApplied, w.revision
		}
	}
	for _, w := range current.history {
		if expect != 0 && w.revision == expect {
			return verdictNotApplied, 0
		}
	}
	return verdictUnknown, 0
}
