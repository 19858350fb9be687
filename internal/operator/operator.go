// Package operator reads the operator's own file, with settings beyond those that the platform gives each balancer. An absent
// file or key leaves the defaults.
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

// File is the content of the operator's file.
type File struct {
	Connections Connections `toml:"connections"`
	Fleet       *Fleet      `toml:"fleet"` // nil if this balancer communicates with no other
}

// Connections configures the connections to cache hosts; see docs/guide/connections.md.
type Connections struct {
	HostMost     int         `toml:"host_most"`     // limit of connections to one host from all balancers
	Openings     float64     `toml:"openings"`      // limit of connections opened per second to one host by all balancers
	ColdOpenings float64     `toml:"cold_openings"` // the same while the host is cold
	ColdFor      strict.Span `toml:"cold_for"`      // time after its start for which a host is cold
	Age          strict.Span `toml:"age"`           // at which a connection is retired
	Reuse        string      `toml:"reuse"`         // which idle connection to use: longest (idle) or last (used)
	Wait         float64     `toml:"wait"`          // fraction of its remaining time that an attempt may wait for a connection in use
	Ahead        float64     `toml:"ahead"`         // connections opened in advance, in standard deviations above the mean need
	Shrink       strict.Span `toml:"shrink"`        // connections not needed for this time are closed
}

// ErrFaulty is wrapped by all errors about the file's content.
var ErrFaulty = errors.New("faulty operator's file")

// Read reads and checks a file; an empty path counts as an empty file.
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

// Parse parses and checks a file's text and reports all faults at once.
func Parse(name string, text []byte) (*File, error) {
	f := &File{}
	s := strict.Decode(name, text, f)
	if s.Valid() {
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

var reuseOrders = map[string]pool.Reuse{"": pool.LongestIdle, "longest": pool.LongestIdle, "last": pool.LastUsed}

func (c *Connections) check(s *strict.File) {
	const section = "connections."
	day := strict.Span(24 * time.Hour)
	strict.CheckRange(s, section+"host_most", c.HostMost, 0, 1<<20)
	strict.CheckRange(s, section+"openings", c.Openings, 0, 1e6)
	strict.CheckRange(s, section+"cold_openings", c.ColdOpenings, 0, 1e6)
	strict.CheckRange(s, section+"cold_for", c.ColdFor, 0, day)
	strict.CheckRange(s, section+"age", c.Age, 0, 30*day)
	strict.CheckRange(s, section+"wait", c.Wait, 0, 1)
	strict.CheckRange(s, section+"ahead", c.Ahead, 0, 10)
	strict.CheckRange(s, section+"shrink", c.Shrink, 0, day)
	if _, known := reuseOrders[c.Reuse]; !known {
		s.AddFault(section+"reuse", "expected longest or last, got %q", c.Reuse)
	}
	if s.IsSet(section+"host_most") && c.HostMost == 0 {
		s.AddFault(section+"host_most", "no connection at all; leave the key out for no bound")
	}
	if c.ColdOpenings > 0 && c.Openings == 0 {
		s.AddFault(section+"cold_openings", "it needs openings too")
	}
	if c.ColdOpenings > c.Openings {
		s.AddFault(section+"cold_openings", "a cold host does not bear more than a warm one (openings, %v), got %v", c.Openings, c.ColdOpenings)
	}
	if (c.ColdOpenings > 0) != (c.ColdFor > 0) && c.Ahead == 0 {
		s.AddFault(section+"cold_for", "it and cold_openings need each other")
	}
	if c.Age > 0 && c.Age < strict.Span(time.Second) {
		s.AddFault(section+"age", "expected a second at least, got %v", c.Age)
	}
}

// PoolConfig returns the connection pool's configuration. base holds what the platform sets: the number of balancers, the limit of
// all connections and the idle limit.
func (c *Connections) PoolConfig(base pool.Config) pool.Config {
	base.HostMaxConnections, base.OpeningsPerSecond, base.ColdOpeningsPerSecond = c.HostMost, c.Openings, c.ColdOpenings
	base.ColdFor, base.MaxAge, base.ShrinkInterval = policy.Nanos(c.ColdFor), policy.Nanos(c.Age), policy.Nanos(c.Shrink)
	base.Reuse, base.MaxWaitFraction, base.AheadDeviations = reuseOrders[c.Reuse], c.Wait, c.Ahead
	return base
}
