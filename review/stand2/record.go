package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what is sent, answered and run, with the milliseconds since its start.
type Record struct {
	mu    sync.Mutex
	begun time.Time
	file  *os.File
	out   *bufio.Writer
}

// NewRecord returns a record that is written to a file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{begun: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// Add writes one line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%7d ", time.Since(r.begun).Milliseconds())
	fmt.Fprintf(r.out, format, args...)
	_ = r.out.WriteByte('\n')
}

// Say writes one line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close ends the record.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
