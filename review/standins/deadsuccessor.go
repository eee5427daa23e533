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

func init() { plays["deadsuccessor"] = playDeadSuccessor }

// Times of the case.
const (
	deadClients    = 100 * time.Millisecond // between two new clients
	deadSettle     = 3 * time.Second
	deadWatch      = 40 * time.Second
	deadRejectsFor = 4 * time.Second // the page's bound, with no attempt in between
	deadRejects    = 15              // the page's bound
)

// rejectRun is the current run of rejections without an attempt.
type rejectRun struct {
	mu       sync.Mutex
	since    time.Time // of the first rejection of the run; zero: none
	count    int
	reported bool
	served   int
}

// playDeadSuccessor starts a successor of a proxy in a fleet and kills it once it serves. The old process serves again. It may
// not reject all that it gets for 4 s on end.
func playDeadSuccessor(w *world) error {
	var run rejectRun
	onOpen := func(*endpoint, string, time.Time) {
		run.mu.Lock()
		defer run.mu.Unlock()
		run.since = time.Time{} // an attempt
		run.count = 0
	}
	d := newDiscovery(w)
	for _, id := range []string{"s-1", "s-2", "s-3"} {
		e, err := newEndpoint(w, id, onOpen)
		if err != nil {
			return err
		}
		d.set(e.entry)
	}
	f, err := newFleet(w, "")
	if err != nil {
		return err
	}
	if err := f.startReplicas(); err != nil {
		return err
	}
	if err := f.propose("first", albumSettings(1), ""); err != nil {
		return err
	}
	addr, err := d.listen("n1")
	if err != nil {
		return err
	}
	known, _ := d.since(0)
	if err := f.addProxy("n1", addr, known, albumSettings(1), ""); err != nil {
		return err
	}
	if err := f.awaitTelemetry(0, "svc.fleet.state", "leased", 10*time.Second); err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for n := 1; ; n++ {
			select {
			case <-time.After(deadClients):
				go deadClient(w, f.proxyAddrs[0], n, &run)
			case <-stop:
				return
			}
		}
	}()
	time.Sleep(deadSettle)
	env := append([]string{"EDGE_OPERATOR=127.0.0.1:0"}, f.proxyEnv[0]...)
	next, err := w.start("new", "exec bin/micafront", env...)
	if err != nil {
		return err
	}
	if err := f.proxies[0].await("hot restart: successor serves"); err != nil {
		return err
	}
	time.Sleep(deadSettle)
	if w.trouble {
		next.signal(syscall.SIGKILL)
		if err := f.proxies[0].await("successor exited, this process serves"); err != nil {
			return err
		}
	}
	time.Sleep(deadWatch)
	run.mu.Lock()
	defer run.mu.Unlock()
	w.logf("%d clients were served", run.served)
	if run.served == 0 {
		return errors.New("no client was served")
	}
	return nil
}

// deadClient is one client.
func deadClient(w *world, addr string, n int, run *rejectRun) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		w.logf("client %d: %v", n, err)
		return
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "OPEN %016x key%d c=album-feed,d=1800,g=g%d\r\n", n, n, n); err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	w.logf("client %d got %q, %v", n, line, err)
	run.mu.Lock()
	switch {
	case strings.HasPrefix(line, "UP "):
		run.served++
	case strings.HasPrefix(line, "BUSY"):
		if run.count == 0 {
			run.since = time.Now()
		}
		run.count++
		if lasted := time.Since(run.since); run.count >= deadRejects && lasted >= deadRejectsFor && !run.reported {
			run.reported = true
			w.breakRule("the proxy has rejected all of %d requests in %.3f s, with no attempt in between", run.count, lasted.Seconds())
		}
	}
	run.mu.Unlock()
	_, _ = io.Copy(io.Discard, reader) // until the proxy ends it, or the deadline
}
