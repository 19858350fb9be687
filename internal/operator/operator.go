// Package operator reads the operator's own file: what an installation sets beyond what its platform tells each
// balancer. An absent file, and each absent key, changes nothing.
package operator

import (
	"errors"
	"fmt"
	"os"
	"time"

	"streamrail/internal/pool"
	"streamrail/internal/strict"
	"streamrail/policy"
)

// File is what the operator sets.
type File struct {
	Connections Connections `toml:"connections"`
	Fleet       *Fleet      `toml:"fleet"` // nil: this balancer speaks with no other
}

// Connections bound those to cache hosts; see docs/guide/connections.md.
type Connections struct {
	HostMost     int         `toml:"host_most"`     // that a host takes from all balancers
	Openings     float64     `toml:"openings"`      // a second that a host bears from all balancers
	ColdOpenings float64     `toml:"cold_openings"` // the same while it is cold
	ColdFor      strict.Span `toml:"cold_for"`      // since its start
	Age          strict.Span `toml:"age"`           // at which one is retired
	Reuse        string      `toml:"reuse"`         // longest or last
	Wait         float64     `toml:"wait"`          // part of its remaining time that an attempt may wait for one in use
	Ahead        float64     `toml:"ahead"`         // deviations beyond the mean need that are opened ahead
	Shrink       strict.Span `toml:"shrink"`        // what nobody used for so long goes
}

// ErrFaulty is in all errors about the file's content.
var ErrFaulty = errors.New("faulty operator's file")

// Read reads and checks a file; an empty path is an empty file.
func Read(path string) (*File, error) {
	if path == "" {
		return &File{}, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	return Parse(path, text)
}

// Parse checks a file's text as a whole.
func Parse(name string, text []byte) (*File, error) {
	f := &File{}
	s := strict.Decode(name, text, f)
	if s.Sound() {
		f.Connections.check(s)
		if f.Fleet != nil {
			f.Fleet.check(s)
		}
	}
	if err := s.Err(ErrFaulty); err != nil {
		return nil, err
	}
	return f, nil
}

var reuses = map[string]pool.Reuse{"": pool.Longest, "longest": pool.Longest, "last": pool.Last}

func (c *Connections) check(s *strict.File) {
	const at = "connections."
	day := strict.Span(24 * time.Hour)
	strict.Within(s, at+"host_most", c.HostMost, 0, 1<<20)
	strict.Within(s, at+"openings", c.Openings, 0, 1e6)
	strict.Within(s, at+"cold_openings", c.ColdOpenings, 0, 1e6)
	strict.Within(s, at+"cold_for", c.ColdFor, 0, day)
	strict.Within(s, at+"age", c.Age, 0, 30*day)
	strict.Within(s, at+"wait", c.Wait, 0, 1)
	strict.Within(s, at+"ahead", c.Ahead, 0, 10)
	strict.Within(s, at+"shrink", c.Shrink, 0, day)
	if _, known := reuses[c.Reuse]; !known {
		s.Bad(at+"reuse", "expected longest or last, got %q", c.Reuse)
	}
	if s.Given(at+"host_most") && c.HostMost == 0 {
		s.Bad(at+"host_most", "no connection at all; leave the key out for no bound")
	}
	if c.ColdOpenings > 0 && c.Openings == 0 {
		s.Bad(at+"cold_openings", "it needs openings too")
	}
	if c.ColdOpenings > c.Openings {
		s.Bad(at+"cold_openings", "a cold host does not bear more than a warm one (openings, %v), got %v", c.Openings, c.ColdOpenings)
	}
	if (c.ColdOpenings > 0) != (c.ColdFor > 0) && c.Ahead == 0 {
		s.Bad(at+"cold_for", "it and cold_openings need each other")
	}
	if c.Age > 0 && c.Age < strict.Span(time.Second) {
		s.Bad(at+"age", "expected a second at least, got %v", c.Age)
	}
}

// Terms are the pool's, over what the platform fixes: the balancers, all connections and the idle limit.
func (c *Connections) Terms(base pool.Terms) pool.Terms {
	base.HostMost, base.Openings, base.ColdOpenings = c.HostMost, c.Openings, c.ColdOpenings
	base.ColdFor, base.Age, base.Shrink = policy.Nanos(c.ColdFor), policy.Nanos(c.Age), policy.Nanos(c.Shrink)
	base.Reuse, base.Wait, base.Ahead = reuses[c.Reuse], c.Wait, c.Ahead
	return base
}
