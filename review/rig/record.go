// Package rig has what the cases of the review share: a record of a run, the project's programs as processes, and small
// stand-ins for discovery, feed servers and clients that follow the operators' protocol page.
package rig

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"time"
)

// Record is the text file of what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates the file. Times in it count from now.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, started: time.Now()}, nil
}

// Printf writes one line with the time.
func (r *Record) Printf(format string, args ...any) { r.at(time.Now(), fmt.Sprintf(format, args...)) }

// Stage writes a line and shows it on standard output too.
func (r *Record) Stage(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.at(time.Now(), "== "+text)
	fmt.Printf("%7.3f %s\n", r.Since(time.Now()).Seconds(), text)
}

func (r *Record) at(at time.Time, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", r.Since(at).Seconds(), text)
}

// Since returns the time from the start of the record.
func (r *Record) Since(at time.Time) time.Duration { return at.Sub(r.started) }

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }

// Ports that FreeAddr draws from lie below those that the system gives to outgoing connections.
const (
	firstPort = 12000
	lastPort  = 30000
	portTries = 200
)

var usedPorts sync.Map

// FreeAddr returns a loopback address on which nobody listens now.
func FreeAddr() (string, error) {
	for range portTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if _, used := usedPorts.LoadOrStore(port, true); used {
			continue
		}
		addr := "127.0.0.1:" + strconv.Itoa(port)
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		listener.Close()
		return addr, nil
	}
	return "", fmt.Errorf("no free port in %d tries", portTries)
}
