package platform

import (
	"bytes"
	"encoding/binary"
)

// writeID identifies one write. It is random and therefore unique.
type writeID [16]byte

// historyEntry is an earlier write of a key, with the revision that it created.
type historyEntry struct {
	id       writeID
	revision Revision
}

// historyLength is the number of earlier writes that a value lists. A write whose response was
// lost stays provable until that many writes have replaced it.
const historyLength = 8

var envelopeMagic = []byte("bsw1")

const (
	envelopeEntrySize = 16 + 8
	// EnvelopeOverhead is the most that CompareAndSwap adds to a value, in bytes.
	EnvelopeOverhead = 4 + 1 + 16 + historyLength*envelopeEntrySize
)

// envelope wraps a value with the identities of its write and of earlier writes. If the key-value
// service's response to a write is lost, the writer uses these identities to determine whether the
// write took effect. This works even after another writer has replaced the value, because each writer
// copies the identities of the writes that it replaces.
type envelope struct {
	id      writeID
	history []historyEntry // newest first
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

// decodeEnvelope also accepts values that another tool wrote without an envelope.
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
		var w historyEntry
		copy(w.id[:], rest)
		w.revision = Revision(binary.BigEndian.Uint64(rest[len(w.id):]))
		e.history = append(e.history, w)
		rest = rest[envelopeEntrySize:]
	}
	e.payload = rest
	return e
}

// successorHistory returns the history of the write that replaces e, which is at revision.
func (e envelope) successorHistory(revision Revision) []historyEntry {
	out := append([]historyEntry{{id: e.id, revision: revision}}, e.history...)
	return out[:min(len(out), historyLength)]
}

// writeOutcome is the outcome of a write with a lost response, as far as the current value proves it.
type writeOutcome int

const (
	outcomeUnknown writeOutcome = iota
	outcomeApplied
	outcomeNotApplied
)

// resolveOutcome determines from the current value whether a write that expected revision expect
// was applied, and at which revision. Deleting a key ends its history. Only a history that reaches
// back to expect therefore proves that the write was not applied.
func resolveOutcome(id writeID, expect Revision, current envelope, revision Revision) (writeOutcome, Revision) {
	if current.id == id {
		return outcomeApplied, revision
	}
	for _, w := range current.history {
		if w.id == id {
			return outcomeApplied, w.revision
		}
	}
	for _, w := range current.history {
		if expect != 0 && w.revision == expect {
			return outcomeNotApplied, 0
		}
	}
	return outcomeUnknown, 0
}
