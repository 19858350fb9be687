package deadline

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// wallClockFunctions convert a time to or from a number. Values derived this way jump when the wall clock is stepped.
var wallClockFunctions = []string{"Unix", "UnixNano", "UnixMicro", "UnixMilli"}

// allowedWallClockUses lists the functions that may use the wall clock, how often, and why.
var allowedWallClockUses = map[string]struct {
	uses   int
	reason string
}{
	"internal/balancer/balancer.go:New":              {1, "the start value of the policy's clock, which then advances by monotonic time"},
	"internal/balancer/start_times.go:convert":       {1, "discovery gives start times by the wall clock; each is converted once, by its age"},
	"internal/balancer/client_close.go:pastDeadline": {1, "a constant in the past, which ends a wait"},
	"internal/upstream/upstream.go:pastTime":         {1, "a constant in the past, which ends a wait"},
	"internal/fleet/transport/codec.go:newCodec":     {1, "datagram numbers; known issue: after the clock is stepped back, a restarted process's numbers are not newer"},
	"internal/fleet/transport/codec.go:encode":       {1, "datagrams contain the wall time at which they were written"},
	"internal/fleet/transport/codec.go:decode":       {1, "checks that wall time; known issue: a machine whose clock is off by over five minutes is cut off"},
	"internal/balancer/fleet.go:joinFleet":           {1, "a process id begins with the wall time of the start; known issue: if the clock is stepped back, a restarted process looks older"},
	"internal/balancer/limits.go:startSharing":       {1, "numbers of lease requests between balancers; known issue: as for datagram numbers"},
}

// wallClockUses returns, for each use of the wall clock in a file, the function or variable whose declaration contains it.
func wallClockUses(file *ast.File) (functions []string) {
	for _, declaration := range file.Decls {
		name := "?"
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			name = d.Name.Name
		case *ast.GenDecl:
			if len(d.Specs) > 0 {
				if v, ok := d.Specs[0].(*ast.ValueSpec); ok {
					name = v.Names[0].Name
				}
			}
		}
		ast.Inspect(declaration, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok {
				return true
			}
			if s, ok := call.Fun.(*ast.SelectorExpr); ok && slices.Contains(wallClockFunctions, s.Sel.Name) {
				functions = append(functions, name)
			}
			return true
		})
	}
	return functions
}

// TestNoWallClock keeps the wall clock out of deadlines, windows, waits and ages: each use must be listed in
// allowedWallClockUses.
func TestNoWallClock(t *testing.T) {
	root := filepath.Join("..", "..")
	found := map[string]int{}
	for _, folder := range []string{"policy", "internal", "cmd/streamrail"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			switch {
			case err != nil:
				return err
			case entry.IsDir() && entry.Name() == "rehearsal":
				return fs.SkipDir // a separate program with its own clock
			case entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
				return nil
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			name, err := filepath.Rel(root, path)
			for _, in := range wallClockUses(file) {
				found[filepath.ToSlash(name)+":"+in]++
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for where, uses := range found {
		if allowed := allowedWallClockUses[where]; uses > allowed.uses {
			t.Errorf("%s uses the wall clock %d times, allowed are %d", where, uses, allowed.uses)
		}
	}
	for where, allowed := range allowedWallClockUses {
		if found[where] < allowed.uses {
			t.Errorf("%s uses the wall clock %d times, listed are %d", where, found[where], allowed.uses)
		}
	}
}

// TestWallClockUses checks that wallClockUses finds the uses.
func TestWallClockUses(t *testing.T) {
	const text = `package p
var past = time.Unix(1, 0)
func a() int64 { return time.Now().UnixNano() }
func b() { x := c.Since(d); x.Unix() }
func c() time.Duration { return time.Since(began) }`
	file, err := parser.ParseFile(token.NewFileSet(), "p.go", text, 0)
	if err != nil {
		t.Fatal(err)
	}
	if got := fmt.Sprint(wallClockUses(file)); got != "[past a b]" {
		t.Errorf("found uses in %s, expected [past a b]", got)
	}
}
