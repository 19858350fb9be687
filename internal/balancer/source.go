package balancer

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"

	"streamrail/internal/discovery"
	"streamrail/policy"
)

// listSource is where the list comes from, and the list as it is known now.
type listSource struct {
	mu         sync.Mutex // also held while a list is handed on: once an address is left, nothing is heard of it
	addr       string
	stop       context.CancelFunc // ends the watch there; nil before the first
	ready      chan struct{}      // closed once there is a list
	readyOnce  sync.Once
	generation int64
	hosts      map[policy.CacheID]discovery.Host
	resumeFrom *int64                                                            // version of the list from before the start, where the watch goes on from it
	dial       func(ctx context.Context, network, addr string) (net.Conn, error) // nil: the network's
}

// update notes an answer of discovery and returns the hosts that it changes, those first to which nothing new may be sent. A host
// that a whole list does not name any more is among them, as gone. Under mu, or before anybody follows.
func (s *listSource) update(list discovery.List) (changes []discovery.Host) {
	s.generation = list.Generation
	if list.Whole {
		changes = s.removeUnlisted(list)
	}
	for _, h := range list.Hosts {
		known, isKnown := s.hosts[h.Cache]
		if isKnown && known == h || !isKnown && h.Condition == policy.Gone {
			continue
		}
		changes = append(changes, h)
		if h.Condition == policy.Gone {
			delete(s.hosts, h.Cache)
		} else {
			s.hosts[h.Cache] = h
		}
	}
	slices.SortStableFunc(changes, func(x, y discovery.Host) int { return cmp.Compare(y.Condition, x.Condition) })
	return changes
}

// removeUnlisted drops the known hosts that a whole list does not name, and returns them as gone.
func (s *listSource) removeUnlisted(list discovery.List) (gone []discovery.Host) {
	listed := make(map[policy.CacheID]struct{}, len(list.Hosts))
	for _, h := range list.Hosts {
		listed[h.Cache] = struct{}{}
	}
	for id, h := range s.hosts {
		if _, isListed := listed[id]; !isListed {
			h.Condition = policy.Gone
			gone = append(gone, h)
			delete(s.hosts, id)
		}
	}
	return gone
}

// snapshot is the whole list as it is known now. Under mu.
func (s *listSource) snapshot() discovery.List {
	list := discovery.List{Generation: s.generation, Whole: true, Hosts: make([]discovery.Host, 0, len(s.hosts))}
	for _, h := range s.hosts {
		list.Hosts = append(list.Hosts, h)
	}
	return list
}
