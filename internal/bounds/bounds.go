// Package bounds checks values of entries in the key-value service. Any process may write there, so that each reader checks what it
// uses: names, addresses and numbers have bounds that no sound writer exceeds.
//
// The package is pure: it holds no clock, I/O, goroutine or randomness.
package bounds

import (
	"encoding/json"
	"net/netip"
	"unicode"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

const (
	// MaxKeyBytes is the longest key that the key-value service takes. Names are parts of keys.
	MaxKeyBytes = 200
	// MaxNumber is the largest integer that all JSON writers write exactly.
	MaxNumber = 1<<53 - 1
	// MaxUnixMilli is the last millisecond of the year 9999, the last that a timestamp can be written of.
	MaxUnixMilli = 253_402_300_799_999
	// MaxPerSecond is above all rates of requests that a replica can have.
	MaxPerSecond = 1e9
	// maxErrorBytes bounds the text of an error about an entry, which may quote a value of any length.
	maxErrorBytes = 300
)

// CheckID checks the name of a replica or daemon. It becomes a header of requests and the last part of a key.
func CheckID(id string) error {
	if id == "" || len(id) > MaxKeyBytes {
		return errors.Newf("has %d bytes, want 1 to %d", len(id), MaxKeyBytes)
	}
	for i := range len(id) {
		if c := id[i]; c <= ' ' || c >= 0x7f || c == '/' {
			return errors.Newf("has the byte %#02x, want visible ASCII without a slash", c)
		}
	}
	return nil
}

// CheckName checks the name of a service, failure domain or model.
func CheckName(name string) error {
	if name == "" || len(name) > MaxKeyBytes {
		return errors.Newf("has %d bytes, want 1 to %d", len(name), MaxKeyBytes)
	}
	if !utf8.ValidString(name) {
		return errors.New("is no UTF-8")
	}
	for _, r := range name {
		if !unicode.IsPrint(r) {
			return errors.Newf("has the character %U, want printable ones", r)
		}
	}
	return nil
}

// CheckAddress checks the address of a listener on one host.
func CheckAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	ip := a.Addr().Unmap()
	switch {
	case a.Port() == 0:
		return errors.New("port: want 1 to 65535")
	case ip.Zone() != "" || ip.Is6() && ip.IsLinkLocalUnicast():
		return errors.New("want an address that means the same on all VMs, not one of a link")
	case ip.IsUnspecified() || ip.IsMulticast() || ip == netip.AddrFrom4([4]byte{255, 255, 255, 255}):
		return errors.New("want the address of one host")
	}
	return nil
}

// CheckNumber checks a count or version. 0 is allowed.
func CheckNumber(n uint64) error {
	if n > MaxNumber {
		return errors.Newf("want at most %d", uint64(MaxNumber))
	}
	return nil
}

// CheckUnixMilli checks a time in Unix milliseconds.
func CheckUnixMilli(ms int64) error {
	if ms <= 0 || ms > MaxUnixMilli {
		return errors.Newf("want 1 to %d", int64(MaxUnixMilli))
	}
	return nil
}

// Decode decodes a value. Its error is brief and names the field if one is of another type.
func Decode(value []byte, out any) error {
	err := json.Unmarshal(value, out)
	if wrong := (*json.UnmarshalTypeError)(nil); errors.As(err, &wrong) {
		return errors.Newf("%s: is a %.40s, want %s", wrong.Field, wrong.Value, wrong.Type)
	}
	return Brief(err)
}

// Brief returns an error with the beginning of another's text.
func Brief(err error) error {
	if err == nil || len(err.Error()) <= maxErrorBytes {
		return err
	}
	return errors.New(err.Error()[:maxErrorBytes] + "...")
}

// BriefKey returns a key, or the beginning of one that is longer than the key-value service takes.
func BriefKey(key string) string {
	if len(key) <= MaxKeyBytes {
		return key
	}
	return key[:MaxKeyBytes] + "..."
}
