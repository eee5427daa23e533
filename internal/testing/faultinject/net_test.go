package faultinject

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/testing/testkit"
	"golang.org/x/sys/unix"
	"pgregory.net/rapid"
)

// lines is the traffic of the tests.
var lines = strings.Repeat("M 1 payload\r\n", 100) // 1,300 bytes

// TestFaultsAtOffsets checks that each fault applies at the exact byte in either direction and does not affect the other
// direction.
func TestFaultsAtOffsets(t *testing.T) {
	long := strings.Repeat(lines, 300)
	for _, c := range []struct {
		name, send, want, end string
		faults                []Fault
	}{
		{"none", long, long, "end", nil},
		{"immediate reset", "", "", "reset", []Fault{{Kind: Reset}}},
		{"reset in mid-line", lines, lines[:7], "reset", []Fault{{Kind: Reset, Offset: 7}}},
		{"reset after a long stream", long, long[:300_001], "reset", []Fault{{Kind: Reset, Offset: 300_001}}},
		{"reset at the last byte", lines, lines, "reset", []Fault{{Kind: Reset, Offset: int64(len(lines))}}},
		{"reset after the last byte", lines, lines, "end", []Fault{{Kind: Reset, Offset: int64(len(lines)) + 1}}},
		{"reset of another connection", lines, lines, "end", []Fault{{Kind: Reset, Connection: 2}}},
		{"fault of the connection takes precedence", lines, lines[:9], "reset", []Fault{{Kind: Reset, Offset: 9, Connection: 1}, {Kind: Reset, Offset: 3}}},
		{"immediate half-close", lines, "", "end", []Fault{{Kind: HalfClose}}},
		{"half-close in mid-line", lines, lines[:20], "end", []Fault{{Kind: HalfClose, Offset: 20}}},
		{"half-close, split and delayed", lines, lines[:501], "end", []Fault{{Kind: HalfClose, Offset: 501}, {Kind: Split},
			{Kind: Delay, Duration: time.Millisecond, Jitter: 3 * time.Millisecond}}},
		{"split", lines, lines, "end", []Fault{{Kind: Split}}},
		{"rate", lines, lines, "end", []Fault{{Kind: Rate, BytesPerSecond: 50_000}}},
		{"jitter", long, long, "end", []Fault{{Kind: Delay, Jitter: 5 * time.Millisecond}}},
	} {
		for _, d := range []Direction{Up, Down} {
			t.Run(c.name+" "+string(d), func(t *testing.T) {
				t.Parallel()
				r := newTestNetwork(t, 1)
				from, to := r.pair(d)
				began := time.Now()
				for _, f := range c.faults {
					f.Direction = d
					r.requireNoError(r.Set("*/k", f))
				}
				go func() {
					_, _ = io.WriteString(from, c.send) // a fault may end the connection
					if c.end == "end" {
						from.CloseWrite()
					}
				}()
				got, end := readAll(to)
				if got != c.want || end != c.end {
					t.Errorf("got %d bytes and %s, want %d and %s", len(got), end, len(c.want), c.end)
				}
				if len(c.faults) == 1 && c.faults[0].Kind == Rate && time.Since(began) < time.Duration(len(lines)-1000)*time.Second/50_000 {
					t.Errorf("%d bytes took %v", len(lines), time.Since(began))
				}
				if c.end == "end" {
					mustWrite(t, to, "response")
					to.CloseWrite()
					back, end := readAll(from)
					testkit.Equal(t, "the other direction", "response, end", back+", "+end)
					awaitCondition(t, "the connection is removed", func() bool { return r.link.OpenConns() == 0 })
				}
			})
		}
	}
}

// TestBlackholeAndClear checks that a Blackhole discards the bytes sent while it is set, and that clearing it resets only the
// connections that lost bytes.
func TestBlackholeAndClear(t *testing.T) {
	for _, d := range []Direction{Both, Up, Down} {
		t.Run(string(d), func(t *testing.T) {
			t.Parallel()
			r := newTestNetwork(t, 1)
			from, to := r.pair(Up)
			idle, idleTarget := r.pair(Up)
			mustWrite(t, from, "before")
			testkit.Equal(t, "before", "before", readString(t, to, 6))
			r.requireNoError(r.Set("p/k", Fault{Kind: Blackhole, Direction: d}))
			discarded := 0
			for _, c := range []struct {
				Direction
				from, to *net.TCPConn
			}{{Up, from, to}, {Down, to, from}} {
				mustWrite(t, c.from, "during")
				if d == Both || c.Direction == d {
					discarded++
				} else {
					testkit.Equal(t, "the other direction", "during", readString(t, c.to, 6))
				}
			}
			awaitCondition(t, "the bytes are discarded", func() bool { return len(r.Log()) == discarded })
			fresh := r.dial()
			if d != Down {
				mustWrite(t, fresh, "hello")
				awaitCondition(t, "the connection is accepted and its bytes are discarded", func() bool { return len(r.Log()) == discarded+1 })
				testkit.Equal(t, "connections at the target", 0, len(r.targets))
			}
			late := r.dial() // sends nothing until the Blackhole is cleared
			awaitCondition(t, "all connections are accepted", func() bool { return r.link.OpenConns() == 4 })
			r.requireNoError(r.Clear("p/k", Blackhole))
			for _, c := range []*net.TCPConn{from, to} {
				got, end := readAll(c)
				testkit.Equal(t, "reset without data", ", reset", got+", "+end)
			}
			mustWrite(t, idle, "on")
			testkit.Equal(t, "an idle connection continues", "on", readString(t, idleTarget, 2))
			if d != Down {
				_, end := readAll(fresh)
				testkit.Equal(t, "a connection that sent during the Blackhole", "reset", end)
			} else {
				fresh.Close()
			}
			mustWrite(t, late, "now")
			awaitCondition(t, "the connection that sent nothing is established", func() bool {
				s := fakes.Await(t, r.targets)
				_ = s.SetReadDeadline(time.Now().Add(fakes.WaitTimeout)) // an error on a closed connection also appears in the read
				b, _ := io.ReadAll(io.LimitReader(s, 3))
				return string(b) == "now"
			})
		})
	}
}

// TestRefuseReservesThePort checks that a Refuse makes the kernel refuse connections, keeps the port reserved and leaves open
// connections unaffected.
func TestRefuseReservesThePort(t *testing.T) {
	r := newTestNetwork(t, 1)
	from, to := r.pair(Up)
	for range 50 {
		r.requireNoError(r.Set("p/k", Fault{Kind: Refuse}))
		if _, err := net.Dial("tcp", r.link.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("dial during a Refuse: %v", err)
		}
		mustWrite(t, from, "on")
		testkit.Equal(t, "open connections continue", "on", readString(t, to, 2))
		r.requireNoError(r.Clear("p/k", ""))
		r.pair(Up)
	}
	r.link.Retarget(r.newTarget())
	_, other := r.pair(Up)
	if other.LocalAddr().String() == to.LocalAddr().String() {
		t.Error("a new connection went to the old target")
	}
}

// TestDelayQueueIsBounded checks that the queue under a Delay grows to maxDelayedBytes, so that the Delay does not limit the
// throughput, and then exceeds it by less than one chunk.
func TestDelayQueueIsBounded(t *testing.T) {
	r := newTestNetwork(t, 1)
	from, _ := r.pair(Up)
	r.requireNoError(r.Set("p/k", Fault{Kind: Delay, Duration: time.Hour}))
	written := make(chan error, 1)
	go func() {
		_, err := from.Write(make([]byte, 64<<20))
		written <- err
	}()
	var up *pipe
	for c := range r.links["p/k"].conns {
		up = c.up
	}
	queuedBytes := func() int {
		up.mu.Lock()
		defer up.mu.Unlock()
		return up.queuedBytes
	}
	awaitCondition(t, "the queue is full", func() bool { return queuedBytes() >= maxDelayedBytes })
	if queuedBytes() >= maxDelayedBytes+chunkBytes {
		t.Errorf("%d bytes are queued", queuedBytes())
	}
	r.requireNoError(r.Set("p/k", Fault{Kind: Reset}))
	if err := fakes.Await(t, written); err == nil {
		t.Error("64 MiB were written")
	}
}

// TestCorruptDependsOnOffset checks that the choice of corrupted bytes depends on the seed and the offset only, not on how
// the bytes were divided among writes.
func TestCorruptDependsOnOffset(t *testing.T) {
	corrupt := func(t fakes.T, seed uint64, pieces []int) (string, []LogEntry) {
		r := newTestNetwork(t, seed)
		r.requireNoError(r.Set("p/*", Fault{Kind: Corrupt, Every: 10, Direction: Up}))
		from, to := r.pair(Up)
		rest := lines
		for _, n := range pieces {
			n = min(n, len(rest))
			mustWrite(t, from, rest[:n])
			rest = rest[n:]
		}
		mustWrite(t, from, rest)
		from.CloseWrite()
		got, _ := readAll(to)
		log := r.Log()
		r.Close()
		return got, log
	}
	want, log := corrupt(t, 1, nil)
	other, _ := corrupt(t, 2, nil)
	if n := len(log); want == other || n < len(lines)/20 || n > len(lines)/5 {
		t.Fatalf("%d of %d bytes corrupted, the same with another seed: %v", n, len(lines), want == other)
	}
	for _, d := range log {
		if want[d.Offset] == lines[d.Offset] {
			t.Errorf("byte %d is logged but unchanged", d.Offset)
		}
	}
	testkit.Property(t, func(rt *rapid.T) {
		pieces := rapid.SliceOfN(rapid.IntRange(1, 400), 0, 8).Draw(rt, "pieces")
		got, again := corrupt(t, 1, pieces)
		if got != want || !slices.Equal(again, log) {
			rt.Fatalf("in pieces of %v, the bytes or the log differ", pieces)
		}
	})
}

// TestRunScheduleIsDeterministic checks that a schedule has the same effects on the same traffic, and that a step that waits
// for a number of connections applies to the last of them from its first byte.
func TestRunScheduleIsDeterministic(t *testing.T) {
	run := func() (out []string, log []LogEntry) {
		r := newTestNetwork(t, 7)
		done := make(chan error, 1)
		go func() {
			done <- r.RunSchedule([]Step{
				{Connections: 2, Links: "p/k", Set: &Fault{Kind: HalfClose, Direction: Up, Offset: 11}},
				{Connections: 3, Links: "p/*", Clear: HalfClose},
				{Links: "p/*", Set: &Fault{Kind: Corrupt, Direction: Up, Every: 50}},
				{Connections: 4, Links: "p/*", Clear: "all"},
				{Links: "*/k", Set: &Fault{Kind: Reset, Offset: 100, Connection: 5, Direction: Up}},
				{After: time.Millisecond, Links: "p/k", Set: &Fault{Kind: Refuse}},
			})
		}()
		awaitCondition(t, "the schedule waits", func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			return len(r.waiters) == 1
		})
		for range 4 {
			from, to := r.pair(Up)
			mustWrite(t, from, lines)
			from.CloseWrite()
			got, end := readAll(to)
			out = append(out, got+end)
		}
		r.requireNoError(fakes.Await(t, done))
		return out, r.Log()
	}
	out, log := run()
	again, logAgain := run()
	testkit.Equal(t, "bytes of the second run", out, again)
	testkit.Equal(t, "log of the second run", log, logAgain)
	testkit.Equal(t, "unchanged, cut off, corrupted, unchanged", []bool{true, true, false, true},
		[]bool{out[0] == lines+"end", out[1] == lines[:11]+"end", out[2] == lines+"end", out[3] == lines+"end"})
	testkit.Equal(t, "log entry of the half-close", LogEntry{"p/k", 2, Up, 11, HalfClose}, log[1])
}

// TestTap checks that a tap observes bytes with their offset and receive time, even if the relay reads them much later or
// discards them.
func TestTap(t *testing.T) {
	r := newTestNetwork(t, 1)
	observed := make(chan Segment, 16)
	r.requireNoError(r.Tap("p/*", func(p Segment) {
		p.Data = bytes.Clone(p.Data)
		observed <- p
	}))
	r.requireNoError(r.Set("p/k", Fault{Kind: Blackhole, Direction: Up, Connection: 2}))
	r.pair(Up)
	r.mu.Lock() // delays the relaying of new connections
	before := time.Now()
	c := r.dial()
	mustWrite(t, c, "OPEN 1 key")
	raw, err := c.SyscallConn()
	r.requireNoError(err)
	awaitCondition(t, "the kernel has acknowledged the bytes", func() bool {
		left := 1
		r.requireNoError(raw.Control(func(fd uintptr) { left, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }))
		return left == 0
	})
	after := time.Now()
	r.mu.Unlock()
	p := fakes.Await(t, observed)
	if p.At.Before(before) || p.At.After(after) {
		t.Errorf("written within %v, but the receive time is %v after the start", after.Sub(before), p.At.Sub(before))
	}
	mustWrite(t, c, " more")
	p2 := fakes.Await(t, observed)
	p.At, p2.At = time.Time{}, time.Time{}
	testkit.Equal(t, "segments", []Segment{{"p/k", 2, Up, 0, time.Time{}, []byte("OPEN 1 key")},
		{"p/k", 2, Up, 10, time.Time{}, []byte(" more")}}, []Segment{p, p2})
}

func TestInvalidFaultsAndLinks(t *testing.T) {
	r := newTestNetwork(t, 1)
	for _, f := range []Fault{{}, {Kind: "quake"}, {Kind: Delay}, {Kind: Rate}, {Kind: Corrupt}, {Kind: Reset, Offset: -1},
		{Kind: Blackhole, Direction: "sideways"}, {Kind: Refuse, Connection: 1}, {Kind: Refuse, Direction: Up}} {
		err := r.Set("p/k", f)
		if !invalidFault.Matches(err) || !invalidFault.Matches(r.RunSchedule([]Step{{Links: "p/k", Set: &f}})) {
			t.Errorf("%+v: %v", f, err)
		}
	}
	_, taken := r.Link("p/k", "127.0.0.1:1")
	for what, err := range map[string]error{"name in use": taken, "no match": r.Clear("q/*", ""), "pattern across /": r.Clear("*", ""),
		"malformed pattern": r.Set("[", Fault{Kind: Blackhole}), "wait without a match": r.RunSchedule([]Step{{Connections: 1, Links: "q"}})} {
		if !invalidLinks.Matches(err) {
			t.Errorf("%s: %v", what, err)
		}
	}
	r.link.Retarget("127.0.0.1:1")
	c, err := net.Dial("tcp", r.link.Addr())
	if err == nil {
		_, err = io.ReadAll(c)
	}
	if !errors.Is(err, syscall.ECONNRESET) { // the reset may come before Dial returns
		t.Errorf("dial without a listener at the target: %v", err)
	}
	r.Close()
	if _, err := r.Link("late", "127.0.0.1:1"); !invalidLinks.Matches(err) {
		t.Errorf("link on a closed network: %v", err)
	}
	if err := r.RunSchedule([]Step{{After: time.Hour, Links: "p/k"}}); !errors.Is(err, context.Canceled) {
		t.Errorf("schedule on a closed network: %v", err)
	}
}
