package main

import (
	"os"
	"path/filepath"
)

// rigTemp returns the private TMPDIR of a balancer.
func rigTemp(name string) string { return filepath.Join(os.Getenv("RIG_WORK"), "t-"+name) }
