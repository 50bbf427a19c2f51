// Package placement chooses the target of a prompt and how its context gets there.
//
// For every candidate target, Choose estimates the time to first token of four options:
// reuse the resident blocks, import the complete context from a store VM, import a head
// and prefill the tail meanwhile, or prefill everything. The score of an option adds
// weighted costs of recomputed tokens and transferred bytes. The estimate of an import
// includes the bytes that are already queued on the store's link, so a busy link
// shortens the imported head instead of growing the queue.
//
// The package is pure: it reads no clock, and equal arguments give equal plans.
package placement
