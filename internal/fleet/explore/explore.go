// Package explore enumerates all sequences of steps from a state, for tests of the state machines in internal/fleet.
package explore

// Sequences runs every sequence of up to depth steps from a state, continuing from each distinct state (by key) once. It returns the
// number of distinct states reached, and the first non-empty result of check.
func Sequences[S any, K comparable](first S, depth int, clone func(S) S, steps func(S) []func(S), key func(S) K, check func(S) string) (states int, failure string) {
	seen := map[K]struct{}{}
	level := []S{first}
	for range depth {
		var next []S
		for _, from := range level {
			for _, step := range steps(from) {
				to := clone(from)
				step(to)
				if failure = check(to); failure != "" {
					return len(seen), failure
				}
				k := key(to)
				if _, visited := seen[k]; !visited {
					seen[k] = struct{}{}
					next = append(next, to)
				}
			}
		}
		level = next
	}
	return len(seen), ""
}
