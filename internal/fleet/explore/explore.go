// Package explore goes through every order of steps from a state, for tests of the fleet's state machines.
package explore

// Orders takes every sequence of steps from a state on, to a depth, and each state once. It tells how many it met, and the first fault
// that a state has.
func Orders[S any, K comparable](first S, depth int, clone func(S) S, steps func(S) []func(S), key func(S) K, fault func(S) string) (states int, bad string) {
	seen := map[K]struct{}{}
	level := []S{first}
	for range depth {
		var next []S
		for _, from := range level {
			for _, step := range steps(from) {
				to := clone(from)
				step(to)
				if bad = fault(to); bad != "" {
					return len(seen), bad
				}
				k := key(to)
				if _, known := seen[k]; !known {
					seen[k] = struct{}{}
					next = append(next, to)
				}
			}
		}
		level = next
	}
	return len(seen), ""
}
