package membership

import "github.com/bluebellscale/bluebellscale/internal/peer"

const (
	// pageAnnouncements is the number of exchanges that list a changed page.
	pageAnnouncements = 12
	// maxAnnouncedPages limits the pages listed in one exchange; the peer finds further
	// changes by comparing digests.
	maxAnnouncedPages = 64
)

// recentPages tracks the pages of the table that changed recently, so that an exchange can
// list them and the peer can pull them at once.
type recentPages struct {
	hash      uint64
	revisions map[string]uint64 // last recorded revision of each page
	remaining map[string]int    // exchanges that still list the page
}

func newRecentPages() recentPages {
	return recentPages{revisions: make(map[string]uint64), remaining: make(map[string]int)}
}

// take returns the pages to list in the next exchange.
func (h *recentPages) take(hash uint64, pages []*peer.PageDigest) []*peer.PageDigest {
	if hash != h.hash {
		h.record(pages)
		h.hash = hash
	}
	if len(h.remaining) == 0 {
		return nil
	}
	var announced []*peer.PageDigest
	for _, d := range pages {
		if h.remaining[d.Page] == 0 {
			continue
		}
		if len(announced) < maxAnnouncedPages {
			announced = append(announced, d)
		}
		h.remaining[d.Page]--
		if h.remaining[d.Page] == 0 {
			delete(h.remaining, d.Page)
		}
	}
	return announced
}

func (h *recentPages) record(pages []*peer.PageDigest) {
	for _, d := range pages {
		if h.revisions[d.Page] != d.Revision {
			h.revisions[d.Page] = d.Revision
			h.remaining[d.Page] = pageAnnouncements
		}
	}
}
