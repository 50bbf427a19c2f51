package journal

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/gob"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

const (
	keyIDSize  = 16 // bytes of SHA-256 that identify a key
	digestSize = 16 // bytes of SHA-256 that identify a call
)

// keyID identifies an organisation's key by its hash. A collision within keyIDSize bytes
// would refuse a call with ErrKeyReused, but never run a call twice.
type keyID string

func newKeyID(org request.OrgID, key string) keyID {
	h := sha256.New()
	fmt.Fprintf(h, "%d:%s%s", len(org), org, key)
	return keyID(h.Sum(nil)[:keyIDSize])
}

// orgID identifies an organisation in the count of keys by its hash. Two organisations
// whose hashes collide share one count.
type orgID uint32

func newOrgID(org request.OrgID) orgID { return orgID(xxhash.Sum64String(string(org))) }

func newDigest(c Call) string {
	h := sha256.New()
	fmt.Fprintf(h, "%d:%s", len(c.Service), c.Service)
	h.Write(c.Digest[:])
	return string(h.Sum(nil)[:digestSize])
}

// attempt is the permanently unique identifier of an intent: epochs are never reused, and
// a holder numbers its intents within an epoch.
type attempt struct {
	Epoch uint64
	Seq   uint64
}

func (a attempt) compare(b attempt) int {
	return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Seq, b.Seq))
}

// entry is one key of a partition: an intent, or a result if Done is set.
type entry struct {
	ID      keyID
	Org     orgID
	Digest  string
	Attempt attempt
	At      int64 // Unix milliseconds of the result, or of the intent if there is none
	Done    bool
	Kept    bool // the result is in Result
	Result  Result
}

// entryOverhead bounds the encoded size of an entry without its result, in bytes.
const entryOverhead = 96

func (e *entry) size() int {
	return entryOverhead + len(e.Result.ContentType) + len(e.Result.Body)
}

func (e *entry) at() time.Time { return time.UnixMilli(e.At) }

func (e *entry) dropResult() {
	e.Kept = false
	e.Result = Result{}
}

// head is the record of a partition that every write of its holder replaces.
type head struct {
	Epoch   uint64
	Commit  uint64 // number of this head write by Holder
	Holder  request.DaemonID
	Entries []entry // all intents, and the results not yet in a page
	Pages   []pageRef
}

// pageRef refers to a page, an immutable value with results.
type pageRef struct {
	Name   string
	Bytes  int
	Newest int64 // Unix milliseconds of its newest entry
}

// page is the stored value of a page.
type page struct {
	Entries []entry
}

func encode(v any) []byte {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(v); err != nil {
		panic(errors.Wrap(err, "encode journal record")) // encoding these fixed types cannot fail
	}
	return b.Bytes()
}

func decodeHead(value []byte) (head, error) {
	var h head
	if len(value) == 0 {
		return h, nil
	}
	err := gob.NewDecoder(bytes.NewReader(value)).Decode(&h)
	return h, errors.Wrap(err, "decode journal head")
}

func decodePage(value []byte) (page, error) {
	var p page
	err := gob.NewDecoder(bytes.NewReader(value)).Decode(&p)
	return p, errors.Wrap(err, "decode journal page")
}

func sortEntries(entries []entry) {
	slices.SortFunc(entries, func(a, b entry) int { return a.Attempt.compare(b.Attempt) })
}

func headKey(partition int) string { return fmt.Sprintf("journal/p%04d/head", partition) }

func partitionPrefix(partition int) string { return fmt.Sprintf("journal/p%04d/", partition) }

func pageKey(partition int, name string) string {
	return fmt.Sprintf("journal/p%04d/page/%s", partition, name)
}
