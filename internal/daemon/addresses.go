package daemon

import (
	"os"

	"github.com/cockroachdb/errors"
)

// WriteAddresses writes the callers' address and the peers' address to path, one per
// line. It replaces the file atomically, so a reader never sees a partial one.
func (d *Daemon) WriteAddresses(path string) error {
	temporary := path + ".tmp"
	text := d.CallerAddress() + "\n" + d.PeerAddress() + "\n"
	if err := os.WriteFile(temporary, []byte(text), 0o644); err != nil {
		return errors.Wrap(err, "daemon: write addresses")
	}
	return errors.Wrap(os.Rename(temporary, path), "daemon: write addresses")
}
