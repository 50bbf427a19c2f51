package journal

// State is a dump of a journal for debugging.
type State struct {
	Partitions []PartitionState `json:"partitions"`
}

// PartitionState is the dump of one partition.
type PartitionState struct {
	Partition int    `json:"partition"`
	Held      bool   `json:"held"`
	Holder    string `json:"holder,omitempty"`
	Epoch     uint64 `json:"epoch,omitempty"`
	Keys      int    `json:"keys,omitempty"`
	HeadBytes int    `json:"head_bytes,omitempty"` // estimate
	Pages     int    `json:"pages,omitempty"`
	Waiting   int    `json:"waiting,omitempty"`
	Tickets   int    `json:"tickets,omitempty"`
	Unsaved   int    `json:"unsaved,omitempty"` // outcomes that are not yet durable
}

// State returns a dump that can be encoded as JSON.
func (j *Journal) State() any {
	var out State
	for _, w := range j.workers {
		h, _, _ := j.holderOf(w)
		s := w.state()
		if !s.Held {
			s.Holder, s.Epoch = string(h.ID), h.Epoch
		}
		out.Partitions = append(out.Partitions, s)
	}
	return out
}

func (w *worker) state() PartitionState {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.core
	s := PartitionState{
		Partition: w.index,
		Held:      w.lease != nil,
		Keys:      len(p.headEntries) + len(p.paged),
		HeadBytes: p.headBytes,
		Pages:     len(p.pages),
		Waiting:   len(w.waiters),
		Tickets:   len(p.openTickets),
		Unsaved:   len(p.outcomes),
	}
	if w.lease != nil {
		s.Holder, s.Epoch = string(w.j.opts.Self), w.lease.Epoch()
	}
	return s
}
