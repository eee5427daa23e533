// Package admin serves the proxy's HTTP endpoint for operators: readiness, telemetry, drain control and the log level. It
// serves HTTP/1.1 on the proxy's event loop, with one request per connection, so that it needs no locks. The number of
// open connections and the duration of each are limited.
package admin

import (
	"container/list"
	"net/http"
	"strconv"
	"time"

	"example.org/micafront/internal/evloop"
)

// Proxy is the part of the proxy that the endpoint uses. All methods are called on the event loop.
type Proxy interface {
	Ready() bool       // reports whether this process can serve
	Telemetry() []byte // returns a name=value line for each metric
	Evacuate()         // migrates clients to other proxies
	Rejoin()           // ends an evacuation

	LogLevel() string              // returns the least severe level that is logged
	SetLogLevel(name string) error // sets the level to debug, info, warn or error
}

const (
	// maxClients limits the open connections. A further client waits in the kernel's accept queue until the oldest one has
	// been connected for minClientTime, and then replaces it.
	maxClients     = 8
	minClientTime  = 50 * time.Millisecond
	requestTimeout = 5 * time.Second // from the connect until the client has read the response
)

// Server serves the requests of operators.
type Server struct {
	loop     *evloop.Loop
	listener *evloop.Listener
	proxy    Proxy
	clients  list.List // elements are *client, the oldest first
}

// Listen starts a server on the event loop that listens at addr, a host and port. It serves until the loop ends.
func Listen(loop *evloop.Loop, addr string, p Proxy) (*Server, error) {
	s := &Server{loop: loop, proxy: p}
	var err error
	ignoreAcceptErrors := func(error) {} // the client's connect fails or stays in the accept queue
	if s.listener, err = loop.Listen(addr, s.accept, ignoreAcceptErrors); err != nil {
		return nil, err
	}
	s.listener.CanAccept = s.canAccept
	return s, nil
}

// canAccept reports whether one more client can be accepted now. Otherwise it waits in the accept queue, for at most minClientTime.
func (s *Server) canAccept() bool {
	return s.clients.Len() < maxClients || s.loop.Now()-s.oldest().connectedAt >= minClientTime
}

// oldest returns the client that has been connected longest. There must be one.
func (s *Server) oldest() *client { return s.clients.Front().Value.(*client) }

// Addr returns the host and port at which the server listens.
func (s *Server) Addr() string { return s.listener.Addr() }

// client is the connection of an operator.
type client struct {
	server      *Server
	conn        *evloop.Conn
	parser      parser
	element     *list.Element // in Server.clients; nil once removed
	timeout     *evloop.Timer
	connectedAt time.Duration
	answered    bool // the response has been written
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

// Opened implements evloop.Handler.
func (c *client) Opened() {}

// Data implements evloop.Handler.
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

// Drained implements evloop.Handler.
func (c *client) Drained() {
	if c.answered && c.conn.AtEOF() {
		c.close()
	}
}

// EOF implements evloop.Handler.
func (c *client) EOF() {
	if !c.answered {
		c.respond(response{status: http.StatusBadRequest, body: []byte("the call is not whole\n")})
	}
	if c.conn.Pending() == 0 {
		c.close()
	}
}

// Closed implements evloop.Handler.
func (c *client) Closed(error) { c.untrack() }

func (c *client) close() {
	c.untrack()
	c.conn.Close()
}

// untrack removes the client from the server's list and cancels its timeout.
func (c *client) untrack() {
	c.server.loop.Cancel(c.timeout)
	if c.element != nil {
		c.server.clients.Remove(c.element)
		c.element = nil
	}
}

// reasonPhrases maps status codes to the reason phrases of RFC 9110. net/http has an older phrase for 413.
var reasonPhrases = map[int]string{
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

// response is an HTTP response. allow is the value of the Allow field; "" omits the field.
type response struct {
	status int
	allow  string
	body   []byte
}

// respond writes the response and closes the write side of the connection. The connection is closed once the client has closed
// its side: closing it earlier, while the client still sends, would reset the connection and could discard the response.
func (c *client) respond(r response) {
	c.answered = true
	out := []byte("HTTP/1.1 " + strconv.Itoa(r.status) + " " + reasonPhrases[r.status] + "\r\n")
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
