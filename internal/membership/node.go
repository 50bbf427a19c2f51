package membership

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/table"
)

// Table is the daemon's copy of the operators' table; *table.Replica is one.
type Table interface {
	Digest() (hash uint64, pages []*peer.PageDigest)
	PagesNewerThan(have []*peer.PageDigest) []*peer.Page
	IsBehind(theirs []*peer.PageDigest) bool
	Merge(pages []*peer.Page) int
	ProofAge(now time.Time) time.Duration
	AdoptPeerProof(sent time.Time, p table.PeerProof) bool
	Changed() <-chan struct{}
}

// Findings holds the quarantine's findings, to be shared by all daemons.
type Findings interface {
	Hash() uint64
	All() []*peer.Finding
	Merge(findings []*peer.Finding) int // returns how many were new
}

// proofPage is a reserved page name. A digest entry of this name carries, in place of a
// revision, the age in milliseconds of the sender's proof that its table is current.
const proofPage = "proof-age-ms"

// findingsSends is how many exchanges carry the findings after they changed.
const findingsSends = 12

// node joins the Core with the table and the findings. It is as pure as the Core: the
// time comes as an argument.
type node struct {
	core         *Core
	table        Table    // may be nil
	findings     Findings // may be nil
	findingsHash uint64   // when they were last looked at
	findingsLeft int      // exchanges that still carry them
	hot          hotPages
}

// newNode returns a node; table and findings may be nil.
func newNode(core *Core, t Table, findings Findings) *node {
	return &node{core: core, table: t, findings: findings, hot: newHotPages()}
}

// pull asks a peer for pages of the table.
type pull struct {
	from Peer
	want []*peer.PageDigest
}

// request is an exchange to send.
func (n *node) request(to Peer) *peer.ExchangeRequest {
	r := n.core.Request(to)
	if n.table != nil {
		hash, pages := n.table.Digest()
		r.TableHash = hash
		r.Pages = n.hot.take(hash, pages)
	}
	if n.findings != nil {
		r.FindingsHash = n.findings.Hash()
		n.addFindings(r)
	}
	return r
}

func (n *node) addFindings(r *peer.ExchangeRequest) {
	if r.FindingsHash != n.findingsHash {
		n.findingsHash = r.FindingsHash
		n.findingsLeft = findingsSends
	}
	if n.findingsLeft > 0 {
		n.findingsLeft--
		r.Findings = n.findings.All()
	}
}

// onExchange answers a peer's exchange, and tells whether pages should be pulled from the
// sender.
func (n *node) onExchange(now time.Time, r *peer.ExchangeRequest) (*peer.ExchangeResponse, *pull) {
	response := n.core.OnExchange(now, r)
	if n.findings != nil {
		n.findings.Merge(r.Findings)
		if n.findings.Hash() != r.FindingsHash {
			response.Findings = n.findings.All()
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
	if age := n.table.ProofAge(now); age != table.NeverConfirmed {
		proof := &peer.PageDigest{Page: proofPage, Revision: uint64(age.Milliseconds()) + 1} // rounded up
		response.Pages = append(response.Pages, proof)
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

// next is what follows from a peer's answer.
type next struct {
	exchange *peer.ExchangeRequest // one more exchange with the same peer
	pull     *pull
}

// onReply takes the answer to a request that was sent at sent.
func (n *node) onReply(now, sent time.Time, to Peer, asked *peer.ExchangeRequest, r *peer.ExchangeResponse) next {
	wanted := n.core.OnReply(now, to, r)
	var follow next
	if len(wanted) > 0 {
		follow.exchange = n.request(to)
		follow.exchange.Updates = n.core.addUpdates(follow.exchange.Updates, wanted)
	}
	if n.findings != nil {
		n.findings.Merge(r.Findings)
	}
	if n.table == nil || r.From == n.core.self.Id {
		return follow
	}
	pages, proof := splitProof(r)
	n.table.AdoptPeerProof(sent, proof)
	if n.table.IsBehind(pages) {
		follow.pull = &pull{from: to, want: pages}
	}
	if len(asked.Pages) > 0 {
		return follow // the peer already knows what is new here
	}
	if newer := n.newerThan(pages, r.TableHash); len(newer) > 0 {
		if follow.exchange == nil {
			follow.exchange = n.request(to)
		}
		follow.exchange.Pages = newer
	}
	return follow
}

// splitProof parts the pages of an answer from the proof that goes with them.
func splitProof(r *peer.ExchangeResponse) ([]*peer.PageDigest, table.PeerProof) {
	proof := table.PeerProof{Age: table.NeverConfirmed, Hash: r.TableHash}
	for _, d := range r.Pages {
		if d.Page == proofPage {
			proof.Age = time.Duration(d.Revision) * time.Millisecond
			continue
		}
		proof.Pages = append(proof.Pages, d)
	}
	return proof.Pages, proof
}

// newerThan returns the digest of pages held here that a peer lacks.
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

// pagesRequest asks for all pages above those held here.
func (n *node) pagesRequest() *peer.PagesRequest {
	_, have := n.table.Digest()
	return &peer.PagesRequest{Have: have}
}

// onPages answers a peer's question for pages.
func (n *node) onPages(r *peer.PagesRequest) *peer.PagesResponse {
	if n.table == nil {
		return &peer.PagesResponse{}
	}
	return &peer.PagesResponse{Pages: n.table.PagesNewerThan(r.Have)}
}
