// Package policysim is a discrete-event simulation of targets, store VMs and links. It drives
// the real contextdir, placement and retention packages with a trace of contexts that return
// after a gap. The policy benchmark uses it.
//
// Targets prefill in first-come, first-served order at a fixed rate and cache prompts with
// least-recently-used eviction. Their cache events are delayed, and some are lost. A store VM
// has memory, a disk and one link, which serves transfers in order and without priority
// classes. The simulation omits decoding, the key-value service and failures.
package policysim
