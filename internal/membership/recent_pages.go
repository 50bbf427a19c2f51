package membership

import "github.com/bluebellscale/bluebellscale/internal/peer"

const (
	// hotSends is how many exchanges name a page that changed.
	hotSends = 12
	// maxHot bounds the pages named in one exchange; beyond it the peer compares digests.
	maxHot = 64
)

// hotPages remembers which pages of the table changed a short while ago, so that an
// exchange can name them and the peer can ask for them at once.
type hotPages struct {
	hash  uint64
	seen  map[string]uint64 // revision of each page when last looked at
	sends map[string]int    // exchanges that still name the page
}

func newHotPages() hotPages {
	return hotPages{seen: make(map[string]uint64), sends: make(map[string]int)}
}

// take returns the pages to name in the next exchange.
func (h *hotPages) take(hash uint64, pages []*peer.PageDigest) []*peer.PageDigest {
	if hash != h.hash {
		h.note(pages)
		h.hash = hash
	}
	if len(h.sends) == 0 {
		return nil
	}
	var named []*peer.PageDigest
	for _, d := range pages {
		if h.sends[d.Page] == 0 {
			continue
		}
		if len(named) < maxHot {
			named = append(named, d)
		}
		h.sends[d.Page]--
		if h.sends[d.Page] == 0 {
			delete(h.sends, d.Page)
		}
	}
	return named
}

func (h *hotPages) note(pages []*peer.PageDigest) {
	for _, d := range pages {
		if h.seen[d.Page] != d.Revision {
			h.seen[d.Page] = d.Revision
			h.sends[d.Page] = hotSends
		}
	}
}
