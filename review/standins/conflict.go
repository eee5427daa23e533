package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { plays["conflict"] = playConflict }

// Times of the case.
const (
	agreeWithin     = 2 * time.Second        // the fleet's bound
	agreeSlack      = 300 * time.Millisecond // 50 ms by the page, and 250 ms for this machine
	conflictClients = 100 * time.Millisecond // between two new clients, of both proxies together
	conflictAfter   = 15 * time.Second
)

// overflowRoutes returns routes to a pool in zone a that holds one connection of each proxy. All others go to the policy's next
// pool, which is in the given zone.
func overflowRoutes(zone string) string {
	return fmt.Sprintf(`{"pools":[{"name":"first","select":{"zones":["a"]},"max_open":1},{"name":"overflow","select":{"zones":[%q]}}],
"policies":[{"name":"next","fallback":["overflow"]}],
"routes":[{"name":"all","match":{"class":["album-feed"]},"to":[{"pool":"first","ppm":1000000}],"policy":"next"}]}`, zone)
}

// playConflict activates a version that moves the overflow of all connections from zone b to zone c. One proxy is cut off from all
// replicas once it has said that it has prepared that version. It may not send by the former version for longer than the
// fleet's bound.
func playConflict(w *world) error {
	var mu sync.Mutex
	proxyOf := map[string]string{}
	counts := map[string]int{}
	var switchedAt time.Time // when the other proxy first sent by the new version
	onOpen := func(e *endpoint, id string, at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		proxy := proxyOf[id]
		counts[proxy+" to zone "+e.Zone]++
		switch {
		case e.Zone == "c" && switchedAt.IsZero():
			switchedAt = at
			w.logf("%s sends by the new version", proxy)
		case e.Zone == "b" && !switchedAt.IsZero() && at.Sub(switchedAt) > agreeWithin+agreeSlack:
			w.breakRule("%s sent request %s to %s in zone b, by the former version, %.3f s after a request was sent by the new one",
				proxy, id, e.ID, at.Sub(switchedAt).Seconds())
		}
	}
	d := newDiscovery(w)
	for _, zone := range []string{"a", "b", "c"} {
		e, err := newEndpoint(w, "s-"+zone, onOpen)
		if err != nil {
			return err
		}
		e.Zone = zone
		d.set(e.entry)
	}
	f, err := newFleet(w, "")
	if err != nil {
		return err
	}
	if err := f.startReplicas(); err != nil {
		return err
	}
	settings := strings.Replace(albumSettings(2), `"Zone":"thies","Azs":["thies"]`, `"Zone":"a","Azs":["a","b","c"]`, 1)
	if err := f.propose("first", settings, overflowRoutes("b")); err != nil {
		return err
	}
	known, _ := d.since(0)
	direct := f.replicaAddrs
	cut := &cutLink{world: w, marker: []byte(`"prepared":2`), enabled: w.trouble}
	for i, name := range []string{"n1", "n2"} {
		addr, err := d.listen(name)
		if err != nil {
			return err
		}
		f.replicaAddrs = direct
		if i == 0 {
			if f.replicaAddrs, err = cut.listen(direct); err != nil {
				return err
			}
		}
		err = f.addProxy(name, addr, known, settings, overflowRoutes("b"))
		f.replicaAddrs = direct
		if err != nil {
			return err
		}
		if err := f.awaitTelemetry(i, "svc.fleet.state", "leased", 10*time.Second); err != nil {
			return err
		}
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for n := 1; ; n++ {
			select {
			case <-time.After(conflictClients):
			case <-stop:
				return
			}
			id := fmt.Sprintf("%016x", n)
			mu.Lock()
			proxyOf[id] = fmt.Sprint("n", n%2+1)
			mu.Unlock()
			go conflictClient(w, f.proxyAddrs[n%2], id, n)
		}
	}()
	time.Sleep(3 * time.Second)
	if err := f.propose("second", settings, overflowRoutes("c")); err != nil {
		return err
	}
	time.Sleep(conflictAfter)
	mu.Lock()
	defer mu.Unlock()
	w.logf("first lines: %v", counts)
	if switchedAt.IsZero() {
		return errors.New("the new version never became active")
	}
	return nil
}

// cutLink is the network between one proxy and the replicas. Once the proxy has sent the marker, which still arrives, the link is
// cut: nothing passes any more, and open connections stay open and silent.
type cutLink struct {
	world   *world
	marker  []byte
	enabled bool

	mu  sync.Mutex
	cut bool
}

// listen opens a listener before each address and returns their addresses.
func (l *cutLink) listen(targets []string) ([]string, error) {
	var addrs []string
	for _, target := range targets {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, listener.Addr().String())
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go l.relay(conn, target)
			}
		}()
	}
	return addrs, nil
}

func (l *cutLink) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// relay passes the bytes of a connection until the link is cut.
func (l *cutLink) relay(conn net.Conn, target string) {
	if l.isCut() {
		_, _ = io.Copy(io.Discard, conn) // silent until the proxy ends it
		conn.Close()
		return
	}
	replica, err := net.Dial("tcp", target)
	if err != nil {
		conn.Close()
		return
	}
	go l.pass(replica, conn, false)
	l.pass(conn, replica, true)
}

// pass passes bytes one way. fromProxy says that they come from the proxy.
func (l *cutLink) pass(from, to net.Conn, fromProxy bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if !l.isCut() {
			if fromProxy && l.enabled && bytes.Contains(buffer[:n], l.marker) {
				l.mu.Lock()
				l.cut = true
				l.mu.Unlock()
				l.world.logf("the link from n1 to the replicas is cut")
			}
			_, _ = to.Write(buffer[:n]) // it may have ended
		}
		if err != nil {
			from.Close()
			if !l.isCut() {
				to.Close()
			}
			return
		}
	}
}

// conflictClient is a client that keeps its connection for some seconds.
func conflictClient(w *world, addr, id string, n int) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		w.logf("client %d: %v", n, err)
		return
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "OPEN %s key%d c=album-feed,d=1800,g=g%d\r\n", id, n, n); err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	w.logf("client %d at %s got %q, %v", n, addr, line, err)
	if strings.HasPrefix(line, "UP ") {
		_, _ = io.Copy(io.Discard, reader) // until the proxy ends it, or the deadline
	}
}
