package retention

import "time"

// Params are the settings of retention.
type Params struct {
	MinBlocks    int           // shorter contexts are not exported
	MinNewBlocks int           // a copy that lacks fewer blocks is not renewed
	DefaultGap   time.Duration // expected gap of a context without history
	HighWater    float64       // share of a tier's room at which it is cleared
	LowWater     float64       // share of a tier's room to which it is cleared
	PromoteLead  time.Duration // how long before an expected return a promotion is started
	PrefetchLead time.Duration // how long before an expected return a prefetch is started
	MaxSpread    float64       // widest spread of gaps, relative to the residence, that is prefetched
	MinHistory   int           // gaps to have seen before a return is predicted
	ChunkTime    time.Duration // longest time that a background transfer may hold the link
}

// DefaultParams returns the settings of both deployments.
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
