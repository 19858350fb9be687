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

// Size holds the resource usage of one balancer without requests, for a number of hosts in its list and of balancers in its
// settings. It shows the cost of a host that has no attempt and no connection.
type Size struct {
	Hosts, Balancers int
	Ready            time.Duration // from the start of the process until it accepts connections
	MB               float64       // resident memory, after the changes of the host list
	Threads          int
	Descriptors      int
}

// PrintSizesHead writes the head of the table whose rows PrintSize writes.
func PrintSizesHead(to io.Writer) {
	fmt.Fprintln(to, "hosts balancers  ready ms     MB threads descriptors")
}

// PrintSize writes one row of the table.
func PrintSize(to io.Writer, s Size) {
	fmt.Fprintf(to, "%5d %9d %9.1f %6.1f %7d %11d\n", s.Hosts, s.Balancers, float64(s.Ready.Microseconds())/1000, s.MB, s.Threads, s.Descriptors)
}

// MeasureSizes measures each combination of host and balancer counts. Half of the hosts are replaced several times before memory is
// read.
func MeasureSizes(ctx context.Context, launch runner.Launch, hosts, balancers []int, row func(Size)) (all []Size, err error) {
	for _, h := range hosts {
		for _, b := range balancers {
			s, err := measureSize(ctx, launch, h, b)
			if err != nil {
				return nil, err
			}
			all = append(all, s)
			row(s)
		}
	}
	return all, nil
}

// listChanges is how often half of the host list is replaced, and listChangeInterval the time between two changes. The interval
// matches the speed at which the rehearsals of a full fleet replace hosts.
const (
	listChanges        = 4
	listChangeInterval = 500 * time.Millisecond
)

func measureSize(ctx context.Context, launch runner.Launch, hosts, balancers int) (s Size, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dir, err := os.MkdirTemp("", "sizes")
	if err != nil {
		return s, err
	}
	defer os.RemoveAll(dir)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return s, err
	}
	listStart := time.Now()
	server := &http.Server{Handler: changingDiscovery{hosts, listStart}}
	go server.Serve(listener)
	defer server.Close()
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return s, err
	}
	addr := reserved.Addr().String()
	reserved.Close()
	type m = map[string]any
	text, _ := json.Marshal(m{"name": "n", "listen": addr, "discovery": listener.Addr().String(), "seed": "1", "limits": m{"memory_mb": 192, "sockets": 1024},
		"settings": m{"balancers": balancers, "areas": []string{"here"}, "hostTypes": []string{"cache"}, "discovery": "automatic", "extra": m{"mode": "through", "originKind": -1},
			"rules": m{"drainGraceNs": int64(time.Second)}, "products": []m{{"name": "read", "effect": "idempotent", "latencySloNs": int64(time.Second)}}}})
	files := runner.Files{Config: filepath.Join(dir, "config.json"), Log: filepath.Join(dir, "log"), TempDir: dir}
	if err = os.WriteFile(files.Config, text, 0o600); err != nil {
		return s, err
	}
	start := time.Now()
	process, err := launch(ctx, 0, files)
	if err != nil {
		return s, err
	}
	defer process.Kill()
	for s = (Size{Hosts: hosts, Balancers: balancers}); s.Ready == 0; time.Sleep(time.Millisecond) {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			c.Close()
			s.Ready = time.Since(start)
		} else if time.Since(start) > readyTimeout {
			return s, fmt.Errorf("%d hosts, %d balancers: not ready within %v", hosts, balancers, readyTimeout)
		}
	}
	time.Sleep(time.Until(listStart.Add((listChanges + 2) * listChangeInterval)))
	usage := process.Usage()
	s.MB, s.Descriptors, s.Threads = usage.MB, usage.Sockets, usage.Threads
	return s, nil
}

const readyTimeout = 10 * time.Second

// changingDiscovery serves a host list of which half is replaced listChanges times, once per listChangeInterval.
type changingDiscovery struct {
	hosts int
	began time.Time
}

func (c changingDiscovery) generation() int {
	return min(listChanges, int(time.Since(c.began)/listChangeInterval)) + 1
}

func (c changingDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if after, err := strconv.Atoi(r.URL.Query().Get("after")); err == nil {
		ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		for until := time.Now().Add(time.Duration(ms) * time.Millisecond); c.generation() <= after && time.Now().Before(until); {
			time.Sleep(10 * time.Millisecond)
		}
	}
	v := c.generation()
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
