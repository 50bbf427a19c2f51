package membership

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/table"
)

// Table is the daemon's copy of the operators' table, implemented by *table.Replica.
type Table interface {
	Digest() (hash uint64, pages []*peer.PageDigest)
	PagesNewerThan(have []*peer.PageDigest) []*peer.Page
	IsBehind(theirs []*peer.PageDigest) bool
	Merge(pages []*peer.Page) int
	Staleness(now time.Time) time.Duration
	ConfirmFromPeer(sent time.Time, p table.PeerConfirmation) bool
	Changed() <-chan struct{}
}

// CrashRecords holds the crash records of the quarantine, which all daemons share.
type CrashRecords interface {
	Hash() uint64
	All() []*peer.Finding
	Merge(records []*peer.Finding) int // returns the number of new records
}

// stalenessPage is a reserved page name. The revision of a digest entry with this name is the
// staleness, in milliseconds, of the sender's table.
const stalenessPage = "proof-age-ms"

// crashRecordSends is the number of exchanges that carry the crash records after a change.
const crashRecordSends = 12

// node combines the Core with the table and the crash records. Like the Core, it performs
// no I/O and takes the time as an argument.
type node struct {
	core                 *Core
	table                Table        // may be nil
	crashRecords         CrashRecords // may be nil
	crashRecordsHash     uint64       // hash at the last request
	crashRecordSendsLeft int          // exchanges that still carry the records
	recent               recentPages
}

// newNode returns a node. The table and the crash records may be nil.
func newNode(core *Core, t Table, crashRecords CrashRecords) *node {
	return &node{core: core, table: t, crashRecords: crashRecords, recent: newRecentPages()}
}

// pull is a pending request to a peer for pages of the table.
type pull struct {
	from Peer
	want []*peer.PageDigest
}

// request returns the next exchange request to a peer.
func (n *node) request(to Peer) *peer.ExchangeRequest {
	r := n.core.Request(to)
	if n.table != nil {
		hash, pages := n.table.Digest()
		r.TableHash = hash
		r.Pages = n.recent.take(hash, pages)
	}
	if n.crashRecords != nil {
		r.FindingsHash = n.crashRecords.Hash()
		n.addCrashRecords(r)
	}
	return r
}

func (n *node) addCrashRecords(r *peer.ExchangeRequest) {
	if r.FindingsHash != n.crashRecordsHash {
		n.crashRecordsHash = r.FindingsHash
		n.crashRecordSendsLeft = crashRecordSends
	}
	if n.crashRecordSendsLeft > 0 {
		n.crashRecordSendsLeft--
		r.Findings = n.crashRecords.All()
	}
}

// onExchange returns the response to a peer's exchange, and a pull if the sender lists
// pages that are newer than the local ones.
func (n *node) onExchange(now time.Time, r *peer.ExchangeRequest) (*peer.ExchangeResponse, *pull) {
	response := n.core.OnExchange(now, r)
	if n.crashRecords != nil {
		n.crashRecords.Merge(r.Findings)
		if n.crashRecords.Hash() != r.FindingsHash {
			response.Findings = n.crashRecords.All()
		}
	}
	if n.table == nil {
		return response, nil
	}
	hash, pages := n.table.Digest()
	response.TableHash = hash
	follow := n.pullFrom(r.From, r.Pages)
	if hash != r.TableHash && follow == nil {
		response.Pages = pages
	}
	if age := n.table.Staleness(now); age != table.NeverConfirmed {
		stalenessDigest := &peer.PageDigest{Page: stalenessPage, Revision: uint64(age.Milliseconds()) + 1} // rounded up
		response.Pages = append(response.Pages, stalenessDigest)
	}
	return response, follow
}

func (n *node) pullFrom(id string, pages []*peer.PageDigest) *pull {
	e, known := n.core.entries.get(id)
	if !known || !n.table.IsBehind(pages) {
		return nil
	}
	return &pull{from: peerOf(e), want: pages}
}

// followUp holds the calls that follow a peer's response; each may be nil.
type followUp struct {
	exchange *peer.ExchangeRequest // second exchange with the same peer
	pull     *pull
}

// onReply handles the response to the request asked, which was sent at the time sent.
func (n *node) onReply(now, sent time.Time, to Peer, asked *peer.ExchangeRequest, r *peer.ExchangeResponse) followUp {
	wanted := n.core.OnReply(now, to, r)
	var follow followUp
	if len(wanted) > 0 {
		follow.exchange = n.request(to)
		follow.exchange.Updates = n.core.addUpdates(follow.exchange.Updates, wanted)
	}
	if n.crashRecords != nil {
		n.crashRecords.Merge(r.Findings)
	}
	if n.table == nil || r.From == n.core.self.Id {
		return follow
	}
	pages, confirmation := splitConfirmation(r)
	n.table.ConfirmFromPeer(sent, confirmation)
	if n.table.IsBehind(pages) {
		follow.pull = &pull{from: to, want: pages}
	}
	if len(asked.Pages) > 0 {
		return follow // the request listed the pages that are new here
	}
	if newer := n.newerThan(pages, r.TableHash); len(newer) > 0 {
		if follow.exchange == nil {
			follow.exchange = n.request(to)
		}
		follow.exchange.Pages = newer
	}
	return follow
}

// splitConfirmation separates the page digests of a response from the confirmation sent with them.
func splitConfirmation(r *peer.ExchangeResponse) ([]*peer.PageDigest, table.PeerConfirmation) {
	confirmation := table.PeerConfirmation{Age: table.NeverConfirmed, Hash: r.TableHash}
	for _, d := range r.Pages {
		if d.Page == stalenessPage {
			confirmation.Age = time.Duration(d.Revision) * time.Millisecond
			continue
		}
		confirmation.Pages = append(confirmation.Pages, d)
	}
	return confirmation.Pages, confirmation
}

// newerThan returns the digest of the local pages that are newer than the peer's.
func (n *node) newerThan(theirs []*peer.PageDigest, theirHash uint64) []*peer.PageDigest {
	hash, ours := n.table.Digest()
	if hash == theirHash {
		return nil
	}
	known := make(map[string]uint64, len(theirs))
	for _, d := range theirs {
		known[d.Page] = d.Revision
	}
	var newer []*peer.PageDigest
	for _, d := range ours {
		if d.Revision > known[d.Page] {
			newer = append(newer, d)
		}
	}
	return newer
}

// pagesRequest returns a request for all pages that are newer than the local ones.
func (n *node) pagesRequest() *peer.PagesRequest {
	_, have := n.table.Digest()
	return &peer.PagesRequest{Have: have}
}

// onPages returns the response to a peer's request for pages.
func (n *node) onPages(r *peer.PagesRequest) *peer.PagesResponse {
	if n.table == nil {
		return &peer.PagesResponse{}
	}
	return &peer.PagesResponse{Pages: n.table.PagesNewerThan(r.Have)}
}
