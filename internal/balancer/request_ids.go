package balancer

import (
	"crypto/sha256"
	"sync"
	"time"

	"streamrail/internal/memcache"
	"streamrail/policy"
)

// A client gives each request a new id, and hosts identify an attempt by it. A second request with the id of one that has an effect would
// run twice, so the id of such a request is remembered for longer than the request lasts: an attempt whose client has left may run on at
// its host, or may have run.

// idKey stands for an id, whatever its length.
type idKey [16]byte

func keyOfID(id []byte) (key idKey) {
	sum := sha256.Sum256(id)
	copy(key[:], sum[:])
	return key
}

// requestIDs holds the ids of the requests in flight, and of past requests with an effect that may have run.
type requestIDs struct {
	mu       sync.Mutex
	inFlight map[idKey]bool // whether the request has an effect
	past     pastIDs
	peerPast pastIDs     // ids that the other process of an upgrade took
	exchange *idExchange // nil: there is no other process
}

func newRequestIDs(memoryMB int) requestIDs {
	capacity := min(maxPastIDs, memoryMB<<20/pastIDsMemoryDivisor/bytesPerPastID)
	return requestIDs{inFlight: map[idKey]bool{}, past: newPastIDs(capacity), peerPast: newPastIDs(capacity)}
}

// claimID reserves the request's id for it. The fault tells that another request has it, or had it and may have had an effect.
func (b *Balancer) claimID(req *clientRequest) *memcache.Fault {
	ids := &b.requestIDs
	req.idKey = keyOfID(req.ID)
	ids.mu.Lock()
	if fault := ids.claim(req, time.Since(b.epoch)); fault != nil || !req.hasEffect() {
		ids.mu.Unlock()
		return fault
	}
	exchange := ids.exchange
	refused := exchange.claim(req.idKey)
	ids.mu.Unlock()
	if exchange.awaitDecision(refused) {
		ids.mu.Lock()
		defer ids.mu.Unlock()
		delete(ids.inFlight, req.idKey)
		return memcache.IDInUse
	}
	return nil
}

// claim reserves an id in this process. The caller holds mu.
func (ids *requestIDs) claim(req *clientRequest, now time.Duration) *memcache.Fault {
	if _, taken := ids.inFlight[req.idKey]; taken {
		return memcache.IDInUse
	}
	if req.hasEffect() && ids.isPast(req.idKey, now) {
		return memcache.IDUsed
	}
	ids.inFlight[req.idKey] = req.hasEffect()
	return nil
}

// isPast reports whether a request of either process of an upgrade that may have run had the id. The caller holds mu.
func (ids *requestIDs) isPast(key idKey, now time.Duration) bool {
	return ids.past.contains(key, now) || ids.peerPast.contains(key, now)
}

// releaseID lets other requests use the id, once all attempts of the request have ended. It stays taken for requests with an effect if
// this one had an effect and may have run.
func (b *Balancer) releaseID(req *clientRequest) {
	ids := &b.requestIDs
	ids.mu.Lock()
	defer ids.mu.Unlock()
	delete(ids.inFlight, req.idKey)
	switch {
	case !req.hasEffect():
	case req.mayHaveRun:
		ids.past.add(req.idKey, time.Since(b.epoch))
	default:
		ids.exchange.enqueue(idChange{key: req.idKey, freed: true})
	}
}

// hasEffect reports whether running the request twice is more than running it once.
func (c *clientRequest) hasEffect() bool {
	return c.balancer.deployment.PolicyConfig.Products[c.product].Effect != policy.Idempotent
}

const (
	// pastIDRetention is far longer than any attempt lasts and than a client that has left takes to come back.
	pastIDRetention      = time.Minute
	pastIDsMemoryDivisor = 64 // one such part of the memory is for past ids
	bytesPerPastID       = 96 // in the queue and in the map, after they have grown
	maxPastIDs           = 32768
)

// pastIDs is a set of ids that are forgotten after pastIDRetention, or when there are too many: the oldest first. Times count from the
// balancer's epoch.
type pastIDs struct {
	capacity  int
	expiresAt map[idKey]time.Duration
	queue     []pastID // oldest first
}

// pastID is an entry of the queue. It is obsolete if its expiresAt differs from the map's.
type pastID struct {
	key       idKey
	expiresAt time.Duration
}

func newPastIDs(capacity int) pastIDs {
	return pastIDs{capacity: capacity, expiresAt: map[idKey]time.Duration{}}
}

func (p *pastIDs) add(key idKey, now time.Duration) {
	p.expire(now)
	for len(p.queue) > 0 && len(p.queue) >= p.capacity {
		p.dropOldest()
	}
	expiresAt := now + pastIDRetention
	p.expiresAt[key] = expiresAt
	p.queue = append(p.queue, pastID{key, expiresAt})
}

func (p *pastIDs) contains(key idKey, now time.Duration) bool {
	p.expire(now)
	_, found := p.expiresAt[key]
	return found
}

// remove forgets an id; its entry in the queue becomes obsolete.
func (p *pastIDs) remove(key idKey) { delete(p.expiresAt, key) }

// expire forgets the ids whose time is over.
func (p *pastIDs) expire(now time.Duration) {
	for len(p.queue) > 0 && now >= p.queue[0].expiresAt {
		p.dropOldest()
	}
}

func (p *pastIDs) dropOldest() {
	oldest := p.queue[0]
	p.queue = p.queue[1:]
	if p.expiresAt[oldest.key] == oldest.expiresAt {
		delete(p.expiresAt, oldest.key)
	}
}
