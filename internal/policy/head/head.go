// Package head measures the head of an HTTP/1.1 request while it is received: its size, and what a process holds for it once it is
// parsed.
//
// A head of many short lines takes far more memory parsed than received. What it takes is therefore known before it is parsed, from its
// bytes, lines and list entries.
//
// The package is pure: it holds no clock, I/O, goroutine or randomness.
package head

// What a process holds for a parsed head, the copy of it included that is sent on to a replica.
const (
	costPerByte  = 4   // name and value, twice each: received and sent
	costPerLine  = 256 // entries of two maps, slices of values, and the sorted list of the copy
	costPerEntry = 128 // of a list in a value: parts of a prompt, names in Connection
)

// Meter measures one head. The zero value is at its start.
type Meter struct {
	firstLine int // bytes of the request line and of empty lines before it
	fields    int // bytes of all further lines
	lines     int // ends of lines
	entries   int // commas

	lineBytes int  // of the current line, without its end
	inFields  bool // it has ended
	done      bool
}

// Read measures received bytes. Those after the end of the head don't count.
func (m *Meter) Read(p []byte) {
	for _, b := range p {
		if m.done {
			return
		}
		m.readByte(b)
	}
}

func (m *Meter) readByte(b byte) {
	if m.inFields {
		m.fields++
	} else {
		m.firstLine++
	}
	switch b {
	case '\n':
		m.endLine()
	case '\r':
	case ',':
		m.entries++
		m.lineBytes++
	default:
		m.lineBytes++
	}
}

func (m *Meter) endLine() {
	m.lines++
	m.done = m.inFields && m.lineBytes == 0
	m.inFields = m.inFields || m.lineBytes > 0
	m.lineBytes = 0
}

// Cost returns the bytes that a process holds for what was received of the head.
func (m *Meter) Cost() int64 {
	return Cost(m.firstLine+m.fields, m.lines, m.entries)
}

// Cost returns the bytes that a process holds for a head of some bytes, lines and commas.
func Cost(bytes, lines, commas int) int64 {
	return costPerByte*int64(bytes) + costPerLine*int64(lines) + costPerEntry*int64(commas)
}

// Exceeds reports whether the request line or the header lines are longer than limit, in bytes as received.
func (m *Meter) Exceeds(limit int) bool {
	const end = len("\r\n") // of the head
	return m.firstLine > limit || m.fields > limit+end
}
