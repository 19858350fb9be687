package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"streamrail/internal/rehearsal/runner"
)

// Size is what one balancer takes with so many hosts in its list and so many balancers in its settings, while nobody calls it:
// what a host costs that has no attempt and no connection.
type Size struct {
	Hosts, Balancers int
	Ready            time.Duration // from the start of the process until it answers
	MB               float64       // resident, after all hosts have been told of twice
	Threads          int
	Descriptors      int
}

// SizesHead and SizesLine print rows.
func SizesHead(to io.Writer) {
	fmt.Fprintln(to, "hosts balancers  ready ms     MB threads descriptors")
}

func SizesLine(to io.Writer, s Size) {
	fmt.Fprintf(to, "%5d %9d %9.1f %6.1f %7d %11d\n", s.Hosts, s.Balancers, float64(s.Ready.Microseconds())/1000, s.MB, s.Threads, s.Descriptors)
}

// SizesOf measures each pair of sizes; half of the hosts leave and are replaced before memory is looked at.
func SizesOf(ctx context.Context, launch runner.Launch, hosts, balancers []int, row func(Size)) (all []Size, err error) {
	for _, h := range hosts {
		for _, b := range balancers {
			s, err := sizeOf(ctx, launch, h, b)
			if err != nil {
				return nil, err
			}
			all = append(all, s)
			row(s)
		}
	}
	return all, nil
}

// turns is how often half of the list changes, and turnsIn how far apart: as fast as the full fleet's days replace hosts.
const (
	turns   = 4
	turnsIn = 500 * time.Millisecond
)

func sizeOf(ctx context.Context, launch runner.Launch, hosts, balancers int) (s Size, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dir, err := os.MkdirTemp("", "sizes")
	if err != nil {
		return s, err
	}
	defer os.RemoveAll(dir)
	register, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return s, err
	}
	began := time.Now()
	server := &http.Server{Handler: changing{hosts, began}}
	go server.Serve(register)
	defer server.Close()
	own, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return s, err
	}
	addr := own.Addr().String()
	own.Close()
	type m = map[string]any
	text, _ := json.Marshal(m{"name": "n", "listen": addr, "discovery": register.Addr().String(), "seed": "1", "limits": m{"memory_mb": 192, "sockets": 1024},
		"settings": m{"balancers": balancers, "areas": []string{"here"}, "hostTypes": []string{"cache"}, "discovery": "automatic", "extra": m{"mode": "through", "originKind": -1},
			"rules": m{"drainGraceNs": int64(time.Second)}, "products": []m{{"name": "read", "effect": "idempotent", "latencySloNs": int64(time.Second)}}}})
	at := runner.Place{Config: filepath.Join(dir, "config.json"), Log: filepath.Join(dir, "log"), Temp: dir}
	if err = os.WriteFile(at.Config, text, 0o600); err != nil {
		return s, err
	}
	start := time.Now()
	in, err := launch(ctx, 0, at)
	if err != nil {
		return s, err
	}
	defer in.Kill()
	for s = (Size{Hosts: hosts, Balancers: balancers}); s.Ready == 0; time.Sleep(time.Millisecond) {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			c.Close()
			s.Ready = time.Since(start)
		} else if time.Since(start) > readyWithin {
			return s, fmt.Errorf("%d hosts, %d balancers: not ready within %v", hosts, balancers, readyWithin)
		}
	}
	time.Sleep(time.Until(began.Add((turns + 2) * turnsIn)))
	u := in.Usage()
	s.MB, s.Descriptors, s.Threads = u.MB, u.Sockets, u.Threads
	return s, nil
}

const readyWithin = 10 * time.Second

// changing is a register of which half is replaced by other hosts every so often, so many times.
type changing struct {
	hosts int
	began time.Time
}

func (c changing) version() int { return min(turns, int(time.Since(c.began)/turnsIn)) + 1 }

func (c changing) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if after, err := strconv.Atoi(r.URL.Query().Get("after")); err == nil {
		ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		for until := time.Now().Add(time.Duration(ms) * time.Millisecond); c.version() <= after && time.Now().Before(until); {
			time.Sleep(10 * time.Millisecond)
		}
	}
	v := c.version()
	type entry struct {
		InstanceID  string `json:"instanceId"`
		HostPort    string `json:"hostPort"`
		Zone        string `json:"zone"`
		MachineType string `json:"machineType"`
		Lifecycle   string `json:"lifecycle"`
	}
	list := make([]entry, 0, c.hosts)
	for i := range c.hosts {
		id := fmt.Sprint("s-", i)
		if i%2 == v%2 {
			id = fmt.Sprint("s-", i, "-", v)
		}
		list = append(list, entry{id, fmt.Sprintf("127.0.0.1:%d", 1+i), "here", "cache", "active"})
	}
	json.NewEncoder(w).Encode(map[string]any{"generation": v, "reset": true, "instances": list})
}
