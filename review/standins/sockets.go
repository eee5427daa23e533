package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { plays["sockets"] = playSockets }

// Times of the case.
const (
	socketsClients = 40 * time.Millisecond   // between two new clients
	socketsWait    = 1800 * time.Millisecond // how long a client waits for its answer (d): the class's GiveUp
	socketsGrace   = 550 * time.Millisecond  // up to half a second after its time, and 50 ms
	socketsLife    = 30 * time.Second        // of an established connection
	socketsSettle  = 14 * time.Second        // until the file changes
	socketsAfter   = 12 * time.Second
)

// playSockets lowers limits.sockets of a serving proxy from 1,024 to 512 by a new file and SIGHUP, while it holds more descriptors
// than that. Each request needs its final answer within its time and half a second.
func playSockets(w *world) error {
	d := newDiscovery(w)
	for _, id := range []string{"s-1", "s-2", "s-3"} {
		e, err := newEndpoint(w, id, func(*endpoint, string, time.Time) {})
		if err != nil {
			return err
		}
		d.set(e.entry)
	}
	known, _ := d.since(0)
	p, err := w.startSingle(d, known, "")
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var tally answerTally
	clients.Go(func() {
		for n := 1; ; n++ {
			select {
			case <-time.After(socketsClients):
				clients.Go(func() { socketsClient(w, p.addr, n, stop, &tally) })
			case <-stop:
				return
			}
		}
	})
	time.Sleep(socketsSettle)
	if w.trouble {
		text, err := os.ReadFile(p.config)
		if err != nil {
			return err
		}
		lower := strings.Replace(string(text), `"sockets":1024`, `"sockets":512`, 1)
		if err := os.WriteFile(p.config+".new", []byte(lower), 0o600); err != nil {
			return err
		}
		if err := os.Rename(p.config+".new", p.config); err != nil {
			return err
		}
		p.signal(syscall.SIGHUP)
		if err := p.await("configuration read again"); err != nil {
			return err
		}
	}
	time.Sleep(socketsAfter)
	close(stop)
	clients.Wait()
	w.logf("answers: %d UP, %d BUSY, %d others, %d none in time", tally.up, tally.busy, tally.failed, tally.unanswered)
	if tally.up == 0 {
		return errors.New("no client was served")
	}
	return nil
}

// socketsClient is one client: it sends its first line and waits for the answer. Once it is served it sends a line every 2 s.
func socketsClient(w *world, addr string, n int, stop <-chan struct{}, tally *answerTally) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		w.logf("client %d: %v", n, err)
		return
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "OPEN %016x key%d c=album-feed,d=%d,g=g%d\r\n", n, n, socketsWait.Milliseconds(), n); err != nil {
		w.logf("client %d: the line could not be sent: %v", n, err)
		return
	}
	sent := time.Now()
	_ = conn.SetReadDeadline(sent.Add(socketsWait + socketsGrace))
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	tally.count(line, err)
	if err != nil {
		w.breakRule("client %d: no final answer %.3f s after its line, which said d=%d: %v", n, time.Since(sent).Seconds(),
			socketsWait.Milliseconds(), err)
		return
	}
	w.logf("client %d got %q after %.3f s", n, line, time.Since(sent).Seconds())
	if !strings.HasPrefix(line, "UP ") {
		return
	}
	for end := time.Now().Add(socketsLife); time.Now().Before(end); {
		select {
		case <-time.After(lineInterval):
		case <-stop:
			return
		}
		_ = conn.SetReadDeadline(time.Now().Add(lineInterval))
		if _, err := io.WriteString(conn, "M\r\n"); err != nil {
			return
		}
		if line, err := reader.ReadString('\n'); err != nil || line == "MOVE\r\n" {
			return
		}
	}
}
