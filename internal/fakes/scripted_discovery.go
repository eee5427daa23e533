package fakes

import (
	"io"
	"net"
	"net/http"
	"time"
)

// ScriptedDiscovery is a discovery service whose responses the test supplies. It supports one open watch at a time.
type ScriptedDiscovery struct {
	Addr         string
	Lists        chan string           // lists for the open watch to send; "" ends the watch
	Watches      chan string           // receives the query string of each request
	NextHandlers chan http.HandlerFunc // each handles one request instead of a watch
}

// Channel capacities, which exceed what any test leaves unread, so that no send blocks.
const (
	listCapacity  = 16
	watchCapacity = 64
)

// watchKeepAlive is the interval at which an idle watch sends an empty line.
const watchKeepAlive = time.Second

// NewScriptedDiscovery starts a discovery service that stops at the end of the test.
func NewScriptedDiscovery(t T) *ScriptedDiscovery {
	t.Helper()
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		t.Fatal(err)
	}
	d := &ScriptedDiscovery{
		Addr:         listener.Addr().String(),
		Lists:        make(chan string, listCapacity),
		Watches:      make(chan string, watchCapacity),
		NextHandlers: make(chan http.HandlerFunc, listCapacity),
	}
	server := &http.Server{Handler: http.HandlerFunc(d.serve)}
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	t.Cleanup(func() { _ = server.Close() })   // the test is over, so an error does not matter
	return d
}

// serve handles a request with the next handler, if there is one, or as a watch.
func (d *ScriptedDiscovery) serve(w http.ResponseWriter, r *http.Request) {
	d.Watches <- r.URL.RawQuery
	select {
	case handler := <-d.NextHandlers:
		handler(w, r)
		return
	default:
	}
	w.WriteHeader(http.StatusOK)
	for {
		flush(w)
		select {
		case list := <-d.Lists:
			if list == "" {
				return
			}
			writeInChunks(w, list)
		case <-time.After(watchKeepAlive):
			_, _ = io.WriteString(w, "\n") // if the client has disconnected, the request's context ends
		case <-r.Context().Done():
			return
		}
	}
}

// writeInChunks sends a list in two HTTP chunks, because objects may span chunks. It ignores write errors: if the client has
// disconnected, the request's context ends.
func writeInChunks(w http.ResponseWriter, list string) {
	half := len(list) / 2
	_, _ = io.WriteString(w, list[:half])
	flush(w)
	_, _ = io.WriteString(w, list[half:]+"\n")
}

func flush(w http.ResponseWriter) { w.(http.Flusher).Flush() }
