// Package contextdir remembers where the KV cache blocks of a context lie: in which
// target's accelerator memory, in which store VM's memory, on which disk.
//
// A context is one organisation's growing prompt under one model and weight version.
// It is found by the hash of any of its anchors: the blocks at positions 1, 2, 4, 8
// and so on, and its last block. A hash covers all tokens before it, so one match
// proves that the whole prefix is the same. Every match is checked against the
// scope, so a context of another organisation or weight version is never returned.
//
// All content is a hint. Cache events arrive late and with gaps; a gap marks the
// target unsure and asks for a snapshot, and the count of cached tokens in a target's
// answer overrules what was remembered.
//
// The package is pure: time is an argument and wanted effects are returned as Actions.
package contextdir
