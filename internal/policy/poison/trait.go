package poison

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Kind says what requests with the same trait have in common.
type Kind uint8

// Kinds of traits. The values are sent and stored.
const (
	KindRequest Kind = 1 // all of the content
	KindPart    Kind = 2 // a part of the prompt
	KindPath    Kind = 3
	KindModel   Kind = 4 // the model, with its adapter
	lastKind         = KindModel
)

func (k Kind) String() string {
	if k < KindRequest || k > lastKind {
		return "unknown"
	}
	return [...]string{"request", "part", "path", "model"}[k-KindRequest]
}

// Valid reports whether k is one of the kinds above.
func (k Kind) Valid() bool { return k >= KindRequest && k <= lastKind }

// KeyBytes is the length of a Key.
const KeyBytes = 16

// Key is a digest of a trait's value. It is cryptographic, so that no organisation can make a value that counts as one of
// another organisation.
type Key [KeyBytes]byte

// Org identifies an organisation in traits and deaths; AllOrgs is none.
type Org uint64

// AllOrgs is the Org of a trait that requests of several organisations share.
const AllOrgs Org = 0

// OrgOf returns the Org of an organisation, which is never AllOrgs.
func OrgOf(id request.OrgID) Org {
	if h := Org(xxhash.Sum64String(string(id))); h != AllOrgs {
		return h
	}
	return 1
}

// Trait is something that requests have in common.
type Trait struct {
	Kind Kind
	Org  Org // whose requests have the trait; AllOrgs: those of any organisation
	Key  Key
}

// NewTrait returns a trait of an organisation's requests.
func NewTrait(kind Kind, org Org, value ...[]byte) Trait {
	h := sha256.New()
	for _, part := range value {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:]) // never fails
		h.Write(part)
	}
	t := Trait{Kind: kind, Org: org}
	copy(t.Key[:], h.Sum(nil))
	return t
}

// ForAll returns the trait that requests of all organisations have in common.
func (t Trait) ForAll() Trait {
	t.Org = AllOrgs
	return t
}

// sameValue reports whether two traits differ in the organisation at most.
func (t Trait) sameValue(other Trait) bool { return t.Kind == other.Kind && t.Key == other.Key }
