package balancer

import (
	"runtime/metrics"
	"sync/atomic"
)

// memoryUse is what reserved memory is used for.
type memoryUse int

const (
	clientValues memoryUse = iota // values of writes, and buffers for those that are streamed
	hostAnswers                   // answers of hosts, and buffers for those that are streamed
	readAhead                     // input of clients that waits for the reader of its connection
	memoryUseCount
)

var memoryUseNames = [memoryUseCount]string{"client_values", "host_answers", "read_ahead"}

// memoryBudget bounds the memory that peers can make this process hold. Whoever holds bytes in an amount that a peer chooses reserves
// them before it allocates them.
type memoryBudget struct {
	limit    atomic.Int64
	reserved atomic.Int64
	byUse    [memoryUseCount]atomic.Int64
}

// reserve takes bytes from the budget; false if it does not allow them.
func (m *memoryBudget) reserve(use memoryUse, bytes int) bool {
	if m.reserved.Add(int64(bytes)) > m.limit.Load() {
		m.reserved.Add(-int64(bytes))
		return false
	}
	m.byUse[use].Add(int64(bytes))
	return true
}

// release returns bytes to the budget.
func (m *memoryBudget) release(use memoryUse, bytes int64) {
	m.reserved.Add(-bytes)
	m.byUse[use].Add(-bytes)
}

// usage returns the reserved bytes by use.
func (m *memoryBudget) usage() map[string]int64 {
	held := map[string]int64{}
	for use, name := range memoryUseNames {
		held[name] = m.byUse[use].Load()
	}
	return held
}

// memoryReservation is what one holder has reserved from a budget.
type memoryReservation struct {
	budget *memoryBudget // nil: unlimited
	held   [memoryUseCount]atomic.Int64
}

// reserve takes bytes from the budget until release; false if it does not allow them.
func (r *memoryReservation) reserve(use memoryUse, bytes int) bool {
	if r.budget == nil {
		return true
	}
	reserved := r.budget.reserve(use, bytes)
	if reserved {
		r.held[use].Add(int64(bytes))
	}
	return reserved
}

// release returns everything that is reserved.
func (r *memoryReservation) release() {
	if r.budget == nil {
		return
	}
	for use := range r.held {
		if bytes := r.held[use].Swap(0); bytes > 0 {
			r.budget.release(memoryUse(use), bytes)
		}
	}
}

// processMemory returns the bytes that the Go runtime has obtained from the system and not returned. It includes garbage that is not
// collected yet, and is the part of the process's anonymous memory that this program determines.
func processMemory() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64()) - int64(samples[1].Value.Uint64())
}
