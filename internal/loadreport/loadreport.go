// Package loadreport parses the load reports of cache hosts. Their format is the same in all protocols except for the
// separator between a name and its value.
package loadreport

import (
	"strconv"
	"strings"

	"streamrail/policy"
)

// maxPairs limits the pairs of a report that are read; hosts send at most four.
const maxPairs = 16

// Parse parses name and value pairs separated by commas, with separator between a name and its value. Unknown names, values that
// are not a number or out of range, and repeated names are ignored. It returns nil if no usable pair remains.
func Parse(text, separator string) *policy.LoadReport {
	l := policy.LoadReport{InProgress: -1, Utilisation: -1, ServiceSeconds: -1}
	for n := 0; n < maxPairs && text != ""; n++ {
		var pair string
		pair, text, _ = strings.Cut(text, ",")
		name, value, _ := strings.Cut(pair, separator)
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v < 1e9) {
			continue
		}
		switch {
		case name == "inflight" && l.InProgress < 0:
			l.InProgress = v
		case name == "util" && l.Utilisation < 0:
			l.Utilisation = v
		case name == "latency_ms" && l.ServiceSeconds < 0:
			l.ServiceSeconds = v / 1000
		}
	}
	if l.InProgress < 0 && l.Utilisation < 0 && l.ServiceSeconds < 0 {
		return nil
	}
	return &l
}
