package replicas

// SaysLeaving notes that an answer of the replica says that it takes no new requests, and reports
// whether that is news.
func (r *Replica) SaysLeaving() (changed bool) { return !r.leaving.Swap(true) }

// Leaving reports whether the replica takes no new requests: by its own answers, or by the registry.
func (r *Replica) Leaving() bool { return r.leaving.Load() || r.Info().Leaving }
