package retention

import "time"

// Params holds the settings of retention.
type Params struct {
	MinBlocks    int           // shorter contexts are not exported
	MinNewBlocks int           // a copy that lacks fewer blocks is not extended
	DefaultGap   time.Duration // expected gap between uses of a context without history
	HighWater    float64       // share of a tier's capacity above which eviction starts
	LowWater     float64       // share of a tier's capacity at which eviction ends
	PromoteLead  time.Duration // how long before an expected return a promotion starts
	PrefetchLead time.Duration // how long before an expected return a prefetch starts
	MaxSpread    float64       // widest spread of gaps for a prefetch, as a multiple of the residence time
	MinHistory   int           // gaps required to predict a return
	ChunkTime    time.Duration // longest time that a background transfer may occupy the link
}

// IsShort reports whether a context has too few blocks to be exported.
func (p Params) IsShort(blocks int) bool { return blocks < p.MinBlocks }

// DefaultParams returns the settings that both deployments use.
func DefaultParams() Params {
	return Params{
		MinBlocks:    8,
		MinNewBlocks: 1,
		DefaultGap:   time.Hour,
		HighWater:    0.95,
		LowWater:     0.90,
		PromoteLead:  20 * time.Second,
		PrefetchLead: 10 * time.Second,
		MaxSpread:    1,
		MinHistory:   2,
		ChunkTime:    20 * time.Millisecond,
	}
}
