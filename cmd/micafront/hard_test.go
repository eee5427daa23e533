package main

import (
	"fmt"
	"io"
	"os"
	"syscall"
	"testing"
	"time"
)

// descriptors is how many the program holds.
func (w *world) descriptors() int {
	all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.cmd.Process.Pid))
	if err != nil {
		w.t.Fatal(err)
	}
	return len(all)
}

// Clients that leave at any stage, politely or by a reset, leave nothing behind: no request, no attempt, no descriptor.
func TestClientsThatLeave(t *testing.T) {
	w, conns := one(t, withStaff)
	await(t, w.watches)
	before := w.descriptors()
	stages := map[string]func(c *peer) (s *peer){
		"silent":         func(*peer) *peer { return nil },
		"half a line":    func(c *peer) *peer { c.say("OPEN x k c=fe"); return nil },
		"checked":        func(c *peer) *peer { c.say("PING\r\n"); c.line(); return nil },
		"turned away":    func(c *peer) *peer { c.say("X\r\n"); c.line(); return nil },
		"asked":          func(c *peer) *peer { c.say(opening("k")); s := await(t, conns); s.line(); return s },
		"half an answer": func(c *peer) *peer { c.say(opening("k")); s := await(t, conns); s.line(); s.say("U"); return s },
		"up": func(c *peer) *peer {
			c.say(opening("k"))
			s := await(t, conns)
			s.line()
			s.say("UP r\r\n")
			c.line()
			return s
		},
	}
	for name, stage := range stages {
		for _, leave := range []func(*peer){
			func(c *peer) { c.Close() },
			func(c *peer) { c.SetLinger(0); c.Close() },
			func(c *peer) { c.CloseWrite() },
		} {
			c := w.dial()
			s := stage(c)
			leave(c)
			if s == nil {
				continue
			}
			if l := s.line(); l != "EOF" && l != "RST" {
				t.Errorf("%s: the next hop heard %q", name, l)
			}
			s.Close()
		}
	}
	w.figures(map[string]string{"svc.pending": "0"})
	for end := time.Now().Add(patience); w.descriptors() > before; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d descriptors, %d before", w.descriptors(), before)
		}
	}
}

// trickle sends a text a byte at a time, each in a packet of its own.
func trickle(p *peer, text string) {
	for i := range len(text) {
		if _, err := io.WriteString(p, text[i:i+1]); err != nil {
			p.t.Errorf("trickle: %v", err)
			return
		}
	}
}

// Bytes that come one at a time, both ways, make the same lines.
func TestPieces(t *testing.T) {
	w, conns := one(t, withStaff)
	c := w.dial()
	trickle(c, "PING\r\n")
	equal(t, "readiness", "PONG", c.line())
	first := opening("key")
	trickle(c, first)
	s := await(t, conns)
	s.line()
	trickle(s, "UP r\r\n")
	equal(t, "answer", "UP r", c.line())
	for i := range 20 {
		up, down := fmt.Sprint("M ", i), fmt.Sprint("N ", i)
		trickle(c, up+"\r\n")
		equal(t, "to the next hop", up, s.line())
		trickle(s, down+"\r\n")
		equal(t, "to the client", down, c.line())
	}
	trickle(s, "BYE\r\n")
	s.Close()
	equal(t, "end", []string{"BYE", "EOF"}, []string{c.line(), c.line()})
	c.Close()
	w.figures(map[string]string{"svc.pending": "0", "svc.downstream_requests.feed.completed": "1"})
}

// A stop waits for a client whose first line is still on its way, though nothing else is left: it is owed an answer.
func TestStopHearsOutWhoHasBegun(t *testing.T) {
	w, _ := one(t, withStaff)
	c := w.dial()
	c.say("OPEN slow k c=feed,")
	equal(t, "readiness of one that came later", "PONG", w.ping())
	w.cmd.Process.Signal(syscall.SIGTERM)
	equal(t, "when its time is up", []string{"ERR SYNTAX", "EOF"}, []string{c.line(), c.line()})
	c.Close()
	if err := await(t, w.exited); err != nil {
		t.Errorf("exit: %v", err)
	}
}
