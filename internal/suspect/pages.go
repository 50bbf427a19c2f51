package suspect

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/policy/quarantine"
)

// maxPage is how many findings a stored page holds: 2,000 of about 200 bytes keep
// well below the service's cap. The first to expire are left out.
const maxPage = 2000

// pageOf names the page of a fingerprint by its first digit, so that writers of
// different findings rarely meet.
func pageOf(fp quarantine.Fingerprint) string {
	if fp == "" {
		return keyPrefix + "0"
	}
	return keyPrefix + string(fp[:1])
}

func byPage(found []quarantine.Finding) map[string][]quarantine.Finding {
	out := map[string][]quarantine.Finding{}
	for _, f := range found {
		name := pageOf(f.Fingerprint)
		out[name] = append(out[name], f)
	}
	return out
}

func (k *Registry) read(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, ioTimeout)
	defer cancel()
	entry, err := k.opts.KV.Get(ctx, name)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	k.mergeValue(entry.Value)
	return nil
}

// write joins findings with a stored page. Merging is idempotent, so a write whose
// outcome is unknown is simply made again.
func (k *Registry) write(ctx context.Context, name string, found []quarantine.Finding) error {
	ctx, cancel := context.WithTimeout(ctx, ioTimeout)
	defer cancel()
	var err error
	for range writeTries {
		if err = k.writeOnce(ctx, name, found); err == nil {
			return nil
		}
		if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUncertain) {
			return err
		}
	}
	return err
}

func (k *Registry) writeOnce(ctx context.Context, name string, found []quarantine.Finding) error {
	var stored []quarantine.Finding
	entry, err := k.opts.KV.Get(ctx, name)
	switch {
	case err == nil:
		stored = k.mergeValue(entry.Value)
	case !errors.Is(err, platform.ErrNotFound):
		return err
	}
	value, err := json.Marshal(joined(k.opts.Now(), stored, found))
	if err != nil {
		return errors.Wrap(err, "suspect: encode")
	}
	_, err = k.opts.KV.CompareAndSwap(ctx, name, entry.Revision, value, "")
	return err
}

// joined merges findings by the register's own rule.
func joined(now time.Time, stored, found []quarantine.Finding) []quarantine.Finding {
	r := quarantine.New(quarantine.Params{MaxFindings: maxPage})
	r.Merge(now, stored)
	r.Merge(now, found)
	return r.All(now)
}
