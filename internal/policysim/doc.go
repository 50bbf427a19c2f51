// Package policysim is a small discrete-event model of targets, store VMs and links
// that drives the real contextdir, placement and retention packages with a trace of
// contexts that come back after a gap. It exists for the policy bench.
//
// What is modelled: targets prefill first come first served at a fixed rate and keep
// prompts in a least-recently-used cache; their cache events arrive late and some are
// lost; a store VM has memory, a disk and one link, which carries transfers in order
// and knows no classes. Not modelled: decoding, the key-value service, failures.
package policysim
