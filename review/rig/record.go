package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to the case's record.txt, one line for each thing with its time in milliseconds.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	epoch time.Time
}

func openRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		cannotRun("%v", err)
	}
	return &record{file: f, out: bufio.NewWriter(f), epoch: time.Now()}
}

// add writes one line.
func (r *record) add(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.1f %s\n", float64(time.Since(r.epoch).Microseconds())/1000, fmt.Sprintf(format, a...))
}

// say writes one line and prints it.
func (r *record) say(format string, a ...any) {
	r.add(format, a...)
	fmt.Printf(format+"\n", a...)
}

func (r *record) ms(at time.Time) float64 { return float64(at.Sub(r.epoch).Microseconds()) / 1000 }

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
