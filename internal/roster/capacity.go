package roster

import (
	"encoding/json"
	"strings"
)

const (
	// maxCores and maxMbps are the largest values that are believed.
	maxCores = 4096
	maxMbps  = 10_000_000
)

// Capacity is what a daemon's VM can carry. Zero values are unknown: older daemons do not write them.
type Capacity struct {
	Cores float64 `json:"cores,omitempty"`
	Mbps  float64 `json:"mbps,omitempty"` // bandwidth of the link, in Mbit/s

	invalid string // names of the fields whose values were impossible, separated by commas
}

// UnmarshalJSON implements json.Unmarshaler. It never fails: a daemon with an impossible capacity is live
// all the same, and the impossible values count as unknown.
func (c *Capacity) UnmarshalJSON(raw []byte) error {
	*c = Capacity{}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		c.invalid = "capacity"
		return nil
	}
	var invalid []string
	read := func(name string, largest float64) float64 {
		value, valid := parseCapacity(fields[name], largest)
		if !valid {
			invalid = append(invalid, "capacity."+name)
		}
		return value
	}
	c.Cores, c.Mbps = read("cores", maxCores), read("mbps", maxMbps)
	c.invalid = strings.Join(invalid, ",")
	return nil
}

// parseCapacity returns the value of a field, zero if it is missing or invalid.
func parseCapacity(raw json.RawMessage, largest float64) (value float64, valid bool) {
	if raw == nil {
		return 0, true
	}
	if err := json.Unmarshal(raw, &value); err != nil || !isPossible(value, largest) {
		return 0, false
	}
	return value, true
}

// NewCapacity returns a capacity. Impossible values count as unknown.
func NewCapacity(cores, mbps float64) Capacity {
	var c Capacity
	if isPossible(cores, maxCores) {
		c.Cores = cores
	}
	if isPossible(mbps, maxMbps) {
		c.Mbps = mbps
	}
	return c
}

func isPossible(value, largest float64) bool { return value > 0 && value <= largest }
