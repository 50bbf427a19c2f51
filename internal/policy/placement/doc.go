// Package placement chooses the target of a prompt and how its context gets there.
//
// For every candidate target it estimates the time to first token of four ways: reuse
// the blocks in place, import the whole context from a store VM, import a head and
// prefill the tail meanwhile, or prefill everything. Recomputed tokens and link bytes
// are weighed in, by settings. The estimate of an import starts with the bytes that
// already wait for the store's link, so that a busy link shortens the head instead of
// growing its queue.
//
// The package is pure: it holds no clock, and equal arguments give equal plans.
package placement
