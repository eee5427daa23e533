// Package admin is the proxy's HTTP endpoint for operators: readiness, telemetry, drain control and the log level. It
// speaks HTTP/1.1 on the proxy's own event loop, one request to a connection, so that it needs no locks and answers
// while the proxy serves; few connections are open at a time, and each has a time limit.
package admin

import (
	"container/list"
	"net/http"
	"strconv"
	"time"

	"example.org/micafront/internal/evloop"
)

// Proxy is what the endpoint needs of the proxy. All methods are called on the event loop.
type Proxy interface {
	Ready() bool       // whether this process can serve
	Telemetry() []byte // a name=value line for each metric
	Evacuate()         // migrates clients away
	Rejoin()           // ends an evacuation

	LogLevel() string              // the least severe level that is logged
	SetLogLevel(name string) error // to debug, info, warn or error
}

const (
	// maxClients are connected at a time. A further one waits in the kernel until the oldest has had minClientTime, and then
	// takes its place.
	maxClients     = 8
	minClientTime  = 50 * time.Millisecond
	requestTimeout = 5 * time.Second // for one request, until its answer has been read
)

// Server answers operators' requests.
type Server struct {
	loop     *evloop.Loop
	listener *evloop.Listener
	proxy    Proxy
	clients  list.List // of *client, the oldest first
}

// Listen starts a server at addr, a host and port, on the event loop. It serves until the loop ends.
func Listen(loop *evloop.Loop, addr string, p Proxy) (*Server, error) {
	s := &Server{loop: loop, proxy: p}
	var err error
	ignoreAcceptErrors := func(error) {} // the client's connect fails or waits
	if s.listener, err = loop.Listen(addr, s.accept, ignoreAcceptErrors); err != nil {
		return nil, err
	}
	s.listener.CanAccept = s.canAccept
	return s, nil
}

// canAccept reports whether one more client may connect now; else it waits in the kernel, for minClientTime at most.
func (s *Server) canAccept() bool {
	return s.clients.Len() < maxClients || s.loop.Now()-s.oldest().connectedAt >= minClientTime
}

// oldest is the connected client that came first. There must be one.
func (s *Server) oldest() *client { return s.clients.Front().Value.(*client) }

// Addr is the host and port that the server listens at.
func (s *Server) Addr() string { return s.listener.Addr() }

// client is one operator's connection.
type client struct {
	server      *Server
	conn        *evloop.Conn
	parser      parser
	element     *list.Element // in Server.clients; nil once it has been removed
	timeout     *evloop.Timer
	connectedAt time.Duration
	answered    bool
}

func (s *Server) accept(conn *evloop.Conn) evloop.Handler {
	c := &client{server: s, conn: conn, connectedAt: s.loop.Now()}
	c.element = s.clients.PushBack(c)
	c.timeout = s.loop.After(requestTimeout, c.close)
	for s.clients.Len() > maxClients {
		s.oldest().close()
	}
	return c
}

// Opened is part of evloop.Handler.
func (c *client) Opened() {}

// Data is part of evloop.Handler.
func (c *client) Data(b []byte) {
	if c.answered {
		return
	}
	req, err := c.parser.feed(b)
	switch {
	case err != nil:
		c.respond(response{status: err.status, body: []byte(err.text + "\n")})
	case req != nil:
		c.respond(c.server.dispatch(req))
	}
}

// Drained is part of evloop.Handler.
func (c *client) Drained() {
	if c.answered && c.conn.AtEOF() {
		c.close()
	}
}

// EOF is part of evloop.Handler.
func (c *client) EOF() {
	if !c.answered {
		c.respond(response{status: http.StatusBadRequest, body: []byte("the call is not whole\n")})
	}
	if c.conn.Pending() == 0 {
		c.close()
	}
}

// Closed is part of evloop.Handler.
func (c *client) Closed(error) { c.untrack() }

func (c *client) close() {
	c.untrack()
	c.conn.Close()
}

// untrack takes the client off the server's list and stops its timer.
func (c *client) untrack() {
	c.server.loop.Cancel(c.timeout)
	if c.element != nil {
		c.server.clients.Remove(c.element)
		c.element = nil
	}
}

// reasons are the reason phrases of the statuses in use, by RFC 9110; net/http has an older one for 413.
var reasons = map[int]string{
	http.StatusOK:                          "OK",
	http.StatusBadRequest:                  "Bad Request",
	http.StatusNotFound:                    "Not Found",
	http.StatusMethodNotAllowed:            "Method Not Allowed",
	http.StatusRequestEntityTooLarge:       "Content Too Large",
	http.StatusRequestHeaderFieldsTooLarge: "Request Header Fields Too Large",
	http.StatusNotImplemented:              "Not Implemented",
	http.StatusServiceUnavailable:          "Service Unavailable",
	http.StatusHTTPVersionNotSupported:     "HTTP Version Not Supported",
}

// response is an answer. allow is the value of the Allow field, which is left out where it is "".
type response struct {
	status int
	allow  string
	body   []byte
}

// respond writes the one answer and ends this side of the connection. The whole is closed once the client has ended its
// side: closing over bytes that it still sends would reset the connection and could take the answer along.
func (c *client) respond(r response) {
	c.answered = true
	out := []byte("HTTP/1.1 " + strconv.Itoa(r.status) + " " + reasons[r.status] + "\r\n")
	if r.allow != "" {
		out = append(out, "Allow: "+r.allow+"\r\n"...)
	}
	out = append(out, "Content-Type: text/plain; charset=utf-8\r\nCache-Control: no-store\r\nContent-Length: "+
		strconv.Itoa(len(r.body))+"\r\nConnection: close\r\n\r\n"...)
	if !c.parser.headOnly {
		out = append(out, r.body...)
	}
	c.conn.Write(out)
	c.conn.CloseWrite()
}
