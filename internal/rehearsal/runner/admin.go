package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"streamrail/internal/rehearsal/record"
)

// adminClient calls the admin API of balancers, with a new connection for each request.
var adminClient = http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// callAdmin sends one request to an admin API and reports whether it succeeded. The JSON answer is decoded into result
// unless that is nil.
func callAdmin(ctx context.Context, method, addr, path, body string, result any) bool {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := adminClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 == 2 && result != nil {
		return json.NewDecoder(resp.Body).Decode(result) == nil
	}
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode/100 == 2
}

// SetExcluded excludes a cache host, or includes it again, through the admin API of every balancer.
func (s *Stage) SetExcluded(host string, exclude bool) {
	path := "/api/include"
	if exclude {
		path = "/api/exclude"
	}
	for b := range s.slots {
		s.mu.Lock()
		addr := s.slots[b].adminAddr
		s.mu.Unlock()
		began := s.Environment.Now()
		ok := callAdmin(s.ctx, http.MethodPost, addr, path, fmt.Sprintf(`{"member":%q}`, host), nil)
		now := s.Environment.Now()
		s.Record.Add(func() {
			s.Record.AdminCalls = append(s.Record.AdminCalls, record.AdminCall{What: fmt.Sprintf("%s %s at balancer %d", path, host, b+1), At: began, Took: now - began, OK: ok})
			s.Record.HostNotices = append(s.Record.HostNotices, record.HostNotice{Balancer: b, Host: host, Available: !exclude, At: now, ByOperator: true})
		})
	}
}

// upgradeTimeout limits the wait for the newer process of an upgrade; it is longer than an upgrade may take.
const upgradeTimeout = 8 * time.Second

// Upgrade starts a newer process for a balancer and stops the older one once the newer one is ready.
func (s *Stage) Upgrade(b int) error {
	s.mu.Lock()
	slot := s.slots[b]
	old, oldRun := slot.instance, slot.run
	oldRun.Ordered = true
	err := s.launchAt(b)
	addr := slot.adminAddr
	s.mu.Unlock()
	if err != nil {
		return err
	}
	began := s.Environment.Now()
	u := record.Upgrade{Balancer: b, From: began}
	for u.Ready == 0 && s.Environment.Now()-began < upgradeTimeout && s.ctx.Err() == nil {
		if callAdmin(s.ctx, http.MethodGet, addr, "/api/ready", "", nil) {
			u.From = s.Environment.Now()
			u.Ready = u.From - began
		} else {
			time.Sleep(20 * time.Millisecond)
		}
	}
	old.Shutdown()
	select {
	case <-old.Done():
	case <-time.After(upgradeTimeout):
		old.Kill()
	}
	u.To = s.Environment.Now()
	s.Record.Add(func() { s.Record.Upgrades = append(s.Record.Upgrades, u) })
	s.mu.Lock()
	slot.run.Ready = u.From
	s.mu.Unlock()
	return nil
}
