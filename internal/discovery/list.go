package discovery

import (
	"time"

	"streamrail/policy"
)

// Host is one entry of the host list and the host's address.
type Host struct {
	policy.HostEntry
	Addr string
}

// List is one response from discovery: a snapshot of all hosts, or the changes since an earlier generation. If it is partial, it contains
// only hosts that are leaving or gone, from a response that is still arriving; it does not replace that response.
type List struct {
	Generation int64
	Snapshot   bool // a snapshot, not changes
	Partial    bool
	Hosts      []Host
	Unusable   []UnusableEntry
	ReceivedAt time.Time     // when its first byte arrived, from which on the list applies; zero if unknown
	Waited     time.Duration // from the call to the whole response, if it was reported as late; otherwise 0
}

// UnusableEntry is an entry that cannot be used, with its id (empty if missing) and the condition as far as it could be read.
type UnusableEntry struct {
	HostID    policy.HostID
	Condition policy.Condition // Up if none was given
	Err       error
}

// olderThan reports whether the list is a snapshot of a generation before the known one.
func (l List) olderThan(known int64) bool { return l.Snapshot && l.Generation < known }

// IsSelfContained reports whether the list needs nothing from the list known before, so that CompleteFrom would return it unchanged.
// This holds for nearly all responses.
func (l List) IsSelfContained(known int64) bool { return !l.olderThan(known) && len(l.Unusable) == 0 }

// CompleteFrom fills the gaps of the list from the list known before:
//   - A known host whose entry cannot be read keeps its earlier entry, except that the unusable entry may mark it as leaving or
//     gone. If an entry of a snapshot lacks even its id, it may belong to any host that the snapshot does not name, so all
//     those hosts are kept.
//   - A snapshot of a generation before the known one is an earlier state or comes from another discovery server. It cannot
//     revoke that a host process is leaving; a later change can.
func (l List) CompleteFrom(known List) List {
	if l.IsSelfContained(known.Generation) {
		return l
	}
	outdated := l.olderThan(known.Generation)
	knownByID := make(map[policy.HostID]Host, len(known.Hosts))
	for _, h := range known.Hosts {
		knownByID[h.HostID] = h
	}
	if outdated {
		for i, h := range l.Hosts {
			if previous, ok := knownByID[h.HostID]; ok && previous.ListedStart == h.ListedStart {
				l.Hosts[i].Condition = max(h.Condition, previous.Condition)
			}
		}
	}
	unidentified, unreadConditions := false, map[policy.HostID]policy.Condition{}
	for _, u := range l.Unusable {
		unidentified = unidentified || u.HostID == ""
		unreadConditions[u.HostID] = max(unreadConditions[u.HostID], u.Condition)
	}
	for _, h := range l.Hosts {
		delete(knownByID, h.HostID)
	}
	for _, h := range known.Hosts {
		condition, unread := unreadConditions[h.HostID]
		if _, absent := knownByID[h.HostID]; absent && (unread || l.Snapshot && unidentified) {
			h.Condition = max(h.Condition, condition)
			l.Hosts = append(l.Hosts, h)
		}
	}
	return l
}
