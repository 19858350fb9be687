// Package loadreport reads what a cache host tells of its load. It is the same on all wires but for the sign
// between a name and its value.
package loadreport

import (
	"strconv"
	"strings"

	"streamrail/policy"
)

// most bounds the values of a report; hosts send four at most.
const most = 16

// Parse reads name and value pairs that are set apart by commas. A name that is not known here, a value that is
// no number or one that no host can have, and a name that comes again are passed over; nil: nothing is left.
func Parse(text, sign string) *policy.Load {
	l := policy.Load{InHand: -1, Busy: -1, Took: -1}
	for n := 0; n < most && text != ""; n++ {
		var pair string
		pair, text, _ = strings.Cut(text, ",")
		name, value, _ := strings.Cut(pair, sign)
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v < 1e9) {
			continue
		}
		switch {
		case name == "inflight" && l.InHand < 0:
			l.InHand = v
		case name == "util" && l.Busy < 0:
			l.Busy = v
		case name == "latency_ms" && l.Took < 0:
			l.Took = v / 1000
		}
	}
	if l.InHand < 0 && l.Busy < 0 && l.Took < 0 {
		return nil
	}
	return &l
}
