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

// listSource is where the host list comes from, and the list as it is known now.
type listSource struct {
	mu         sync.Mutex // also held while a list is applied, so that nothing from a previous address is applied after a change of address
	addr       string
	stop       context.CancelFunc // stops the current watch; nil before the first one
	ready      chan struct{}      // closed once there is a host list
	readyOnce  sync.Once
	generation int64
	listedBy   string // the address of the discovery service that the list and its generation come from; "" if there is no list
	hosts      map[policy.HostID]discovery.Host
	resumeFrom *int64                                                            // generation of the list from before the watch, if the watch continues from it
	forwarder  *listForwarder                                                    // passes lists on to the newer process of an upgrade; nil if there is none
	dial       func(ctx context.Context, network, addr string) (net.Conn, error) // nil: dial the network
}

// update stores an answer of discovery and returns the hosts that it changes, with those to which nothing new may be sent first. They
// include hosts that a complete list no longer names, as gone. The caller holds mu, unless no watch has been started yet.
func (s *listSource) update(list discovery.List) (changes []discovery.Host) {
	s.generation = list.Generation
	if list.Snapshot {
		changes = s.removeUnlisted(list)
	}
	for _, h := range list.Hosts {
		known, isKnown := s.hosts[h.HostID]
		if isKnown && known == h || !isKnown && h.Condition == policy.Gone {
			continue
		}
		changes = append(changes, h)
		if h.Condition == policy.Gone {
			delete(s.hosts, h.HostID)
		} else {
			s.hosts[h.HostID] = h
		}
	}
	slices.SortStableFunc(changes, func(x, y discovery.Host) int { return cmp.Compare(y.Condition, x.Condition) })
	return changes
}

// removeUnlisted removes the known hosts that a complete list does not name and returns them as gone.
func (s *listSource) removeUnlisted(list discovery.List) (gone []discovery.Host) {
	listed := make(map[policy.HostID]struct{}, len(list.Hosts))
	for _, h := range list.Hosts {
		listed[h.HostID] = struct{}{}
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

// currentAddr returns the address of the discovery service to follow.
func (s *listSource) currentAddr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// listAddr returns the address of the discovery service whose answers continue the known list. The caller holds mu.
func (s *listSource) listAddr() string { return cmp.Or(s.listedBy, s.addr) }

// snapshot returns the complete host list as it is known now. The caller holds mu.
func (s *listSource) snapshot() discovery.List {
	list := discovery.List{Generation: s.generation, Snapshot: true, Hosts: make([]discovery.Host, 0, len(s.hosts))}
	for _, h := range s.hosts {
		list.Hosts = append(list.Hosts, h)
	}
	return list
}
