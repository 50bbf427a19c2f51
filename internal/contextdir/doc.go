// Package contextdir records where the KV cache blocks of a context are stored: in the
// accelerator memory of targets and in the memory or on the disk of store VMs.
//
// A context is one organisation's growing prompt under one model and weight version.
// The directory finds it by the hash of any of its anchors: the blocks at positions 1, 2,
// 4, 8 and so on, and its last block. A hash covers all tokens before it, so one match
// proves that the whole prefix is equal. The directory checks every match against the
// scope, so it never returns a context of another organisation or weight version.
//
// All content is a hint. Cache events arrive late and with gaps. A gap marks the target
// as unconfirmed and requests a snapshot, and the number of cached tokens in a target's
// answer overrides the recorded blocks.
//
// The package is pure: time is an argument, and required effects are returned as Actions.
package contextdir
