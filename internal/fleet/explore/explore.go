// Package explore goes through every order of steps from a state, for tests of the fleet's state machines.
package explore

// Orders takes every sequence of steps from a state on, to a depth, and each state once. It tells how many it met, and the first fault
// that a state has.
func Orders[S any, K comparable](first S, depth int, clone func(S) S, steps func(S) []func(S), key func(S) K, check func(S) string) (states int, failure string) {
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
