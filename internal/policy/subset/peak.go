package subset

import (
	"cmp"
	"time"
)

// Peak is the greatest value that was present within the last holdFor. Each fall is kept for its own time: one
// that follows another is not forgotten with the first. The zero value is ready to use; it is not safe for
// concurrent use.
type Peak[N cmp.Ordered] struct {
	seen []seenValue[N] // from the greatest to the present one, each seen later than the one before
}

type seenValue[N cmp.Ordered] struct {
	value N
	last  time.Time
}

// Update records the present value and returns the peak. The value of the last call was present until now.
func (p *Peak[N]) Update(now time.Time, present N) N {
	if n := len(p.seen); n > 0 {
		p.seen[n-1].last = now
	}
	for len(p.seen) > 0 && now.Sub(p.seen[0].last) >= holdFor {
		p.seen = p.seen[1:]
	}
	for len(p.seen) > 0 && p.seen[len(p.seen)-1].value <= present {
		p.seen = p.seen[:len(p.seen)-1]
	}
	p.seen = append(p.seen, seenValue[N]{value: present, last: now})
	return p.seen[0].value
}

// Expires returns when the peak falls and Update has to be called again, and false if it is the present value.
func (p *Peak[N]) Expires() (time.Time, bool) {
	if len(p.seen) < 2 {
		return time.Time{}, false
	}
	return p.seen[0].last.Add(holdFor), true
}
