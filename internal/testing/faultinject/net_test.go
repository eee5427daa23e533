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

// lines is sent over connections.
var lines = strings.Repeat("M 1 payload\r\n", 100) // 1,300 bytes

// Each fault is exact to the byte in either direction, and leaves the other direction alone.
func TestFaultsAtOffsets(t *testing.T) {
	long := strings.Repeat(lines, 300)
	for _, c := range []struct {
		name, send, want, end string
		faults                []Fault
	}{
		{"none", long, long, "end", nil},
		{"reset at once", "", "", "reset", []Fault{{Kind: Reset}}},
		{"reset in mid-line", lines, lines[:7], "reset", []Fault{{Kind: Reset, Offset: 7}}},
		{"reset behind much", long, long[:300_001], "reset", []Fault{{Kind: Reset, Offset: 300_001}}},
		{"reset at the last byte", lines, lines, "reset", []Fault{{Kind: Reset, Offset: int64(len(lines))}}},
		{"reset behind the last byte", lines, lines, "end", []Fault{{Kind: Reset, Offset: int64(len(lines)) + 1}}},
		{"another connection's reset", lines, lines, "end", []Fault{{Kind: Reset, Connection: 2}}},
		{"the connection's own, not all's", lines, lines[:9], "reset", []Fault{{Kind: Reset, Offset: 9, Connection: 1}, {Kind: Reset, Offset: 3}}},
		{"half an end at once", lines, "", "end", []Fault{{Kind: HalfClose}}},
		{"half an end in mid-line", lines, lines[:20], "end", []Fault{{Kind: HalfClose, Offset: 20}}},
		{"half an end, split and late", lines, lines[:501], "end", []Fault{{Kind: HalfClose, Offset: 501}, {Kind: Split},
			{Kind: Delay, Duration: time.Millisecond, Jitter: 3 * time.Millisecond}}},
		{"byte by byte", lines, lines, "end", []Fault{{Kind: Split}}},
		{"slowly", lines, lines, "end", []Fault{{Kind: Rate, BytesPerSecond: 50_000}}},
		{"late", long, long, "end", []Fault{{Kind: Delay, Jitter: 5 * time.Millisecond}}},
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
					_, _ = io.WriteString(from, c.send) // a fault may end it
					if c.end == "end" {
						from.CloseWrite()
					}
				}()
				got, end := readAll(to)
				if got != c.want || end != c.end {
					t.Errorf("%d bytes and %s instead of %d and %s", len(got), end, len(c.want), c.end)
				}
				if len(c.faults) == 1 && c.faults[0].Kind == Rate && time.Since(began) < time.Duration(len(lines)-1000)*time.Second/50_000 {
					t.Errorf("%d bytes took %v", len(lines), time.Since(began))
				}
				if c.end == "end" {
					mustWrite(t, to, "response")
					to.CloseWrite()
					back, end := readAll(from)
					testkit.Equal(t, "the other direction", "response, end", back+", "+end)
					awaitCondition(t, "forgotten", func() bool { return r.link.OpenConns() == 0 })
				}
			})
		}
	}
}

// A Blackhole discards what is sent during it; when it is cleared, the connections that lost something are reset, and no others.
func TestMuteAndClear(t *testing.T) {
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
			awaitCondition(t, "discarded", func() bool { return len(r.Log()) == discarded })
			fresh := r.dial()
			if d != Down {
				mustWrite(t, fresh, "hello")
				awaitCondition(t, "accepted and muted", func() bool { return len(r.Log()) == discarded+1 })
				testkit.Equal(t, "connections at the target", 0, len(r.targets))
			}
			late := r.dial() // sends nothing until later
			awaitCondition(t, "accepted", func() bool { return r.link.OpenConns() == 4 })
			r.requireNoError(r.Clear("p/k", Blackhole))
			for _, c := range []*net.TCPConn{from, to} {
				got, end := readAll(c)
				testkit.Equal(t, "a reset alone", ", reset", got+", "+end)
			}
			mustWrite(t, idle, "on")
			testkit.Equal(t, "an idle one goes on", "on", readString(t, idleTarget, 2))
			if d != Down {
				_, end := readAll(fresh)
				testkit.Equal(t, "one that sent during the Mute", "reset", end)
			} else {
				fresh.Close()
			}
			mustWrite(t, late, "now")
			awaitCondition(t, "the late one comes up", func() bool {
				s := fakes.Await(t, r.targets)
				_ = s.SetReadDeadline(time.Now().Add(fakes.WaitTimeout)) // a closed connection shows when it is read
				b, _ := io.ReadAll(io.LimitReader(s, 3))
				return string(b) == "now"
			})
		})
	}
}

// Under a Refuse the kernel refuses connections, the port stays reserved, and open connections go on.
func TestRefuseReservesThePort(t *testing.T) {
	r := newTestNetwork(t, 1)
	from, to := r.pair(Up)
	for range 50 {
		r.requireNoError(r.Set("p/k", Fault{Kind: Refuse}))
		if _, err := net.Dial("tcp", r.link.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("refused: %v", err)
		}
		mustWrite(t, from, "on")
		testkit.Equal(t, "open ones go on", "on", readString(t, to, 2))
		r.requireNoError(r.Clear("p/k", ""))
		r.pair(Up)
	}
	r.link.Retarget(r.newTarget())
	_, other := r.pair(Up)
	if other.LocalAddr().String() == to.LocalAddr().String() {
		t.Error("a new connection went to the old target")
	}
}

// Delayed bytes are queued together, so that a delay does not limit the rate, and the queue is bounded.
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

// Which bytes are garbled depends on the seed and the offset alone, not on how the bytes were divided among writes.
func TestGarbleDependsOnOffset(t *testing.T) {
	garble := func(t fakes.T, seed uint64, pieces []int) (string, []LogEntry) {
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
	want, log := garble(t, 1, nil)
	other, _ := garble(t, 2, nil)
	if n := len(log); want == other || n < len(lines)/20 || n > len(lines)/5 {
		t.Fatalf("%d of %d bytes garbled, the same with another seed: %v", n, len(lines), want == other)
	}
	for _, d := range log {
		if want[d.Offset] == lines[d.Offset] {
			t.Errorf("byte %d is as it was", d.Offset)
		}
	}
	testkit.Property(t, func(rt *rapid.T) {
		pieces := rapid.SliceOfN(rapid.IntRange(1, 400), 0, 8).Draw(rt, "pieces")
		got, again := garble(t, 1, pieces)
		if got != want || !slices.Equal(again, log) {
			rt.Fatalf("in pieces of %v other bytes, or another log", pieces)
		}
	})
}

// A schedule has the same effects on the same traffic, and a step after a number of connections applies to the last of
// them from its first byte on.
func TestPlayIsDeterministic(t *testing.T) {
	play := func() (out []string, log []LogEntry) {
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
	out, log := play()
	again, logAgain := play()
	testkit.Equal(t, "bytes of the second run", out, again)
	testkit.Equal(t, "log of the second run", log, logAgain)
	testkit.Equal(t, "plain, half, garbled, plain", []bool{true, true, false, true},
		[]bool{out[0] == lines+"end", out[1] == lines[:11]+"end", out[2] == lines+"end", out[3] == lines+"end"})
	testkit.Equal(t, "the half end's entry", LogEntry{"p/k", 2, Up, 11, HalfClose}, log[1])
}

// A tap observes bytes with their offset and time of receipt, also if they were read much later, or are discarded.
func TestTap(t *testing.T) {
	r := newTestNetwork(t, 1)
	observed := make(chan Segment, 16)
	r.requireNoError(r.Tap("p/*", func(p Segment) {
		p.Data = bytes.Clone(p.Data)
		observed <- p
	}))
	r.requireNoError(r.Set("p/k", Fault{Kind: Blackhole, Direction: Up, Connection: 2}))
	r.pair(Up)
	r.mu.Lock() // no connection is accepted while it is locked
	before := time.Now()
	c := r.dial()
	mustWrite(t, c, "OPEN 1 key")
	raw, err := c.SyscallConn()
	r.requireNoError(err)
	awaitCondition(t, "the system has the bytes", func() bool {
		left := 1
		r.requireNoError(raw.Control(func(fd uintptr) { left, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }))
		return left == 0
	})
	after := time.Now()
	r.mu.Unlock()
	p := fakes.Await(t, observed)
	if p.At.Before(before) || p.At.After(after) {
		t.Errorf("written within %v, noted after %v", after.Sub(before), p.At.Sub(before))
	}
	mustWrite(t, c, " more")
	p2 := fakes.Await(t, observed)
	p.At, p2.At = time.Time{}, time.Time{}
	testkit.Equal(t, "pieces", []Segment{{"p/k", 2, Up, 0, time.Time{}, []byte("OPEN 1 key")},
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
	for what, err := range map[string]error{"taken": taken, "no such": r.Clear("q/*", ""), "across": r.Clear("*", ""),
		"pattern": r.Set("[", Fault{Kind: Blackhole}), "wait": r.RunSchedule([]Step{{Connections: 1, Links: "q"}})} {
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
		t.Errorf("no listener at the target: %v", err)
	}
	r.Close()
	if _, err := r.Link("late", "127.0.0.1:1"); !invalidLinks.Matches(err) {
		t.Errorf("closed: %v", err)
	}
	if err := r.RunSchedule([]Step{{After: time.Hour, Links: "p/k"}}); !errors.Is(err, context.Canceled) {
		t.Errorf("a schedule that was canceled: %v", err)
	}
}
