package deployment

import (
	"strconv"

	"streamrail/policy"
)

// LoadOf reads a load report, names and values by turns. A name that is not known here, a value that is no
// number, and one that no host can have are passed over; nil: nothing is left.
func LoadOf(words []string) *policy.Load {
	l, told := policy.Load{InHand: -1, Busy: -1, Took: -1}, false
	for i := 0; i+1 < len(words); i += 2 {
		to, unit := (*float64)(nil), 1.0
		switch words[i] {
		case "inflight":
			to = &l.InHand
		case "util":
			to = &l.Busy
		case "latency_ms":
			to, unit = &l.Took, 0.001
		default:
			continue
		}
		if v, err := strconv.ParseFloat(words[i+1], 64); err == nil && v >= 0 && v < 1e9 {
			*to, told = v*unit, true
		}
	}
	if !told {
		return nil
	}
	return &l
}
