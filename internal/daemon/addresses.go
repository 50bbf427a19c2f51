package daemon

import (
	"os"

	"github.com/cockroachdb/errors"
)

// WriteAddresses writes the callers' address and the peers' address, a line each. The
// file appears whole: a reader never sees half of it.
func (d *Daemon) WriteAddresses(path string) error {
	temporary := path + ".tmp"
	text := d.CallerAddress() + "\n" + d.PeerAddress() + "\n"
	if err := os.WriteFile(temporary, []byte(text), 0o644); err != nil {
		return errors.Wrap(err, "daemon: addresses")
	}
	return errors.Wrap(os.Rename(temporary, path), "daemon: addresses")
}
