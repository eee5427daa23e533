package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { plays["rollback"] = playRollback }

// Times of the case.
const (
	rollbackClients  = 50 * time.Millisecond   // between two new clients
	rollbackWait     = 1800 * time.Millisecond // how long a client waits for its answer (d): the class's GiveUp
	rollbackRetry    = time.Second             // the same for a retry, which has what is left of it
	rollbackGrace    = 550 * time.Millisecond  // up to half a second after its time, and 50 ms
	rollbackSettle   = 3 * time.Second
	rollbackAfterEnd = 8 * time.Second
	lineInterval     = 2 * time.Second
)

// answerTally counts how clients were answered.
type answerTally struct {
	mu                           sync.Mutex
	up, busy, failed, unanswered int
}

// count counts a first line, or the error in its place.
func (t *answerTally) count(line string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err != nil:
		t.unanswered++
	case strings.HasPrefix(line, "UP "):
		t.up++
	case strings.HasPrefix(line, "BUSY"):
		t.busy++
	default:
		t.failed++
	}
}

// playRollback starts a successor beside a serving proxy and, once it serves, ends the successor again by SIGTERM. Each
// request needs its final answer within its time and half a second.
func playRollback(w *world) error {
	d := newDiscovery(w, 0)
	for _, id := range []string{"s-1", "s-2", "s-3"} {
		e, err := newEndpoint(w, id, func(*endpoint, string, time.Time) {})
		if err != nil {
			return err
		}
		d.set(e.entry)
	}
	known, _ := d.since(0)
	old, err := w.startSingle(d, known, "")
	if err != nil {
		return err
	}
	var tally answerTally
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for n := 1; ; n++ {
			select {
			case <-time.After(rollbackClients):
				clients.Go(func() { rollbackClient(w, old.addr, n, stop, &tally) })
			case <-stop:
				return
			}
		}
	})
	time.Sleep(rollbackSettle)
	next, err := w.start("new", "exec bin/micafront", old.env...)
	if err != nil {
		return err
	}
	if err := old.await("hot restart: successor serves"); err != nil {
		return err
	}
	time.Sleep(rollbackSettle)
	if w.trouble {
		next.signal(syscall.SIGTERM)
	}
	time.Sleep(rollbackAfterEnd)
	if w.trouble && !strings.Contains(old.output(), "successor exited, this process serves") {
		return errors.New("the new process did not end, or the old one did not notice")
	}
	close(stop)
	clients.Wait()
	w.logf("answers: %d UP, %d BUSY, %d others, %d none in time", tally.up, tally.busy, tally.failed, tally.unanswered)
	if tally.up == 0 {
		return errors.New("no client was served")
	}
	return nil
}

// rollbackClient is one client: it sends its first line and waits for the answer. Once it is served it sends a line every 2 s.
func rollbackClient(w *world, addr string, n int, stop <-chan struct{}, tally *answerTally) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		w.logf("client %d: %v", n, err)
		return
	}
	defer conn.Close()
	id := fmt.Sprintf("%016x", n)
	wait, mark := rollbackWait, ""
	if n%2 == 0 {
		wait, mark = rollbackRetry, ",r=1"
	}
	request := fmt.Sprintf("OPEN %s key%d c=album-feed,d=%d,g=g%d%s\r\n", id, n, wait.Milliseconds(), n, mark)
	if _, err := io.WriteString(conn, request); err != nil {
		w.logf("client %d: the line could not be sent: %v", n, err)
		return
	}
	sent := time.Now()
	w.logf("client %d sent %s", n, strings.TrimSpace(request))
	_ = conn.SetReadDeadline(sent.Add(wait + rollbackGrace))
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	took := time.Since(sent)
	tally.count(line, err)
	if err != nil {
		w.breakRule("client %d: no final answer %.3f s after its line, which said d=%d: %v", n, took.Seconds(),
			wait.Milliseconds(), err)
		return
	}
	w.logf("client %d got %q after %.3f s", n, line, took.Seconds())
	if !strings.HasPrefix(line, "UP ") {
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	ended := make(chan struct{})
	go func() { // ends with the connection
		defer close(ended)
		for {
			if line, err := reader.ReadString('\n'); err != nil || line == "MOVE\r\n" {
				return
			}
		}
	}()
	for {
		select {
		case <-time.After(lineInterval):
			if _, err := io.WriteString(conn, "M\r\n"); err != nil {
				return
			}
		case <-ended:
			return
		case <-stop:
			return
		}
	}
}
