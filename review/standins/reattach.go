package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { plays["reattach"] = playReattach }

const (
	reattachClients = 20
	reattachWait    = 40 * time.Second // after which such a connection is lost
)

// playReattach starts a proxy whose known list is older than discovery's: it lacks an endpoint that has joined since. Clients
// whose connections were open at that endpoint come with at=. Each has to be up within 40 s.
func playReattach(w *world) error {
	d := newDiscovery(w)
	var endpoints []*endpoint
	for _, id := range []string{"s-1", "s-2", "s-3"} {
		e, err := newEndpoint(w, id, func(*endpoint, string, time.Time) {})
		if err != nil {
			return err
		}
		endpoints = append(endpoints, e)
	}
	d.set(endpoints[0].entry, endpoints[1].entry)
	known, _ := d.since(0)
	d.set(endpoints[2].entry)
	if !w.trouble {
		known, _ = d.since(0)
	}
	p, err := w.startSingle(d, known, "")
	if err != nil {
		return err
	}
	var clients sync.WaitGroup
	for n := range reattachClients {
		clients.Go(func() {
			conn, err := net.Dial("tcp", p.addr)
			if err != nil {
				w.logf("client %d: %v", n, err)
				return
			}
			defer conn.Close()
			request := fmt.Sprintf("OPEN %016x key%d c=album-feed,d=40000,g=g%d,at=s-3\r\n", n, n, n)
			if _, err := io.WriteString(conn, request); err != nil {
				return
			}
			w.logf("client %d sent %s", n, strings.TrimSpace(request))
			sent := time.Now()
			_ = conn.SetReadDeadline(sent.Add(reattachWait))
			line, err := bufio.NewReader(conn).ReadString('\n')
			w.logf("client %d got %q, %v", n, line, err)
			if !strings.HasPrefix(line, "UP ") {
				w.breakRule("client %d, open at s-3, is not up: %q after %.3f s", n, line, time.Since(sent).Seconds())
			}
		})
	}
	clients.Wait()
	return nil
}
