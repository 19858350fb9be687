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

// wallFunctions make a number of a time, or a time of a number. What is worked out from those jumps when the wall clock is stepped.
var wallFunctions = []string{"Unix", "UnixNano", "UnixMicro", "UnixMilli"}

// allowedWallTime tells which functions may use the wall clock, how often, and why.
var allowedWallTime = map[string]struct {
	uses   int
	reason string
}{
	"internal/balancer/balancer.go:New":       {1, "the reading with which the decisions' own clock starts; it runs on monotonic time"},
	"internal/balancer/starts.go:place":       {1, "discovery tells starts by the wall clock; each is placed once, by its age"},
	"internal/balancer/ends.go:longAgo":       {1, "a constant in the past, which ends a wait"},
	"internal/upstream/upstream.go:longAgo":   {1, "a constant in the past, which ends a wait"},
	"internal/fleet/carry/codec.go:newCodec":  {1, "numbers of datagrams; after a step back by a restart they are not newer: open"},
	"internal/fleet/carry/codec.go:encode":    {1, "datagrams tell the wall time at which they were written"},
	"internal/fleet/carry/codec.go:decode":    {1, "the same; a step by over five minutes at one machine cuts it off: open"},
	"internal/balancer/fleet.go:takePlace":    {1, "a life's mark begins with the wall time of its birth; a step back makes a restart look older: open"},
	"internal/balancer/limits.go:shareLimits": {1, "numbers of asks between balancers: open, as for datagrams"},
}

// wallUses finds the uses in a file, by the function or the variable that they stand in.
func wallUses(file *ast.File) (in []string) {
	for _, declaration := range file.Decls {
		name := "?"
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			name = d.Name.Name
		case *ast.GenDecl:
			if len(d.Specs) > 0 {
				if v, is := d.Specs[0].(*ast.ValueSpec); is {
					name = v.Names[0].Name
				}
			}
		}
		ast.Inspect(declaration, func(n ast.Node) bool {
			call, is := n.(*ast.CallExpr)
			if !is {
				return true
			}
			if s, is := call.Fun.(*ast.SelectorExpr); is && slices.Contains(wallFunctions, s.Sel.Name) {
				in = append(in, name)
			}
			return true
		})
	}
	return in
}

// TestNoWallTime keeps the wall clock out of deadlines, windows, waits and ages: each use stands in the list, with its reason.
func TestNoWallTime(t *testing.T) {
	root := filepath.Join("..", "..")
	found := map[string]int{}
	for _, folder := range []string{"policy", "internal", "cmd/streamrail"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			switch {
			case err != nil:
				return err
			case entry.IsDir() && entry.Name() == "rehearsal":
				return fs.SkipDir // a program of its own, on a clock of its own
			case entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
				return nil
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			name, err := filepath.Rel(root, path)
			for _, in := range wallUses(file) {
				found[filepath.ToSlash(name)+":"+in]++
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for where, uses := range found {
		if allowed := allowedWallTime[where]; uses > allowed.uses {
			t.Errorf("%s uses the wall clock %d times, %d are known", where, uses, allowed.uses)
		}
	}
	for where, allowed := range allowedWallTime {
		if found[where] < allowed.uses {
			t.Errorf("%s is in the list and uses the wall clock %d times, not %d", where, found[where], allowed.uses)
		}
	}
}

// TestWallUses shows that the search bites.
func TestWallUses(t *testing.T) {
	const text = `package p
var past = time.Unix(1, 0)
func a() int64 { return time.Now().UnixNano() }
func b() { x := c.Since(d); x.Unix() }
func c() time.Duration { return time.Since(began) }`
	file, err := parser.ParseFile(token.NewFileSet(), "p.go", text, 0)
	if err != nil {
		t.Fatal(err)
	}
	if got := fmt.Sprint(wallUses(file)); got != "[past a b]" {
		t.Errorf("found in %s", got)
	}
}
