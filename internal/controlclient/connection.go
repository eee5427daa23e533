package controlclient

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/httpresponse"
)

// request is a request in flight.
type request struct {
	path        string
	text        []byte        // the complete HTTP request
	maxBytes    int64         // limit on the response body
	deadline    time.Duration // on the loop's clock
	idleTimeout time.Duration // the longest time without a byte of the response; 0: only the deadline applies
	done        func(body []byte, sent time.Duration, err error)

	sent     time.Duration // on the loop's clock
	received bool          // whether a byte of the response has arrived
	parser   *httpresponse.Parser
	body     []byte // the part of the response body that has arrived
}

// connection is a connection to a replica, with at most one request in flight. It implements evloop.Handler. Its life cycle:
//
//   - send dials, or writes the request if the connection is established.
//   - finishResponse completes a request. A persistent connection then waits for the next request; others are closed.
//   - fail ends the request with an error and closes the connection; close ends both without a callback.
type connection struct {
	client     *Client
	addr       string
	persistent bool // stays open after a response
	conn       *evloop.Conn
	connected  bool
	closed     bool
	responses  int      // number of complete responses received
	request    *request // nil: no request is in flight
	timer      *evloop.Timer
}

// send sends a request. It dials first if there is no connection yet.
func (c *connection) send(r *request) {
	c.request = r
	r.parser = httpresponse.NewWithLimit(r.maxBytes, c.appendBody)
	c.startTimer()
	if c.conn != nil {
		if c.connected {
			c.writeRequest()
		}
		return
	}
	conn, err := c.client.loop.Dial(c.addr, c)
	if err != nil {
		// fail calls the callback, which must not happen before send returns.
		c.client.loop.After(0, func() { c.fail(NoResponse.Wrap(place(c.addr, r.path), err)) })
		return
	}
	c.conn = conn
}

// startTimer restarts the timer that ends the request at its deadline or idle timeout, whichever is first.
func (c *connection) startTimer() {
	loop := c.client.loop
	r := c.request
	loop.Cancel(c.timer)
	remaining := r.deadline - loop.Now()
	if r.idleTimeout > 0 {
		remaining = min(remaining, r.idleTimeout)
	}
	c.timer = loop.After(remaining, func() {
		c.fail(NoResponse.New(place(c.addr, r.path), "timeout after %d bytes of the response body", len(r.body)))
	})
}

func (c *connection) writeRequest() {
	c.request.sent = c.client.loop.Now() // the start of this turn of the loop, which is not later than the write
	c.conn.Write(c.request.text)
}

// finishRequest releases the request and its timer, which would keep a version's text in memory as long as the client exists.
func (c *connection) finishRequest() {
	c.client.loop.Cancel(c.timer)
	c.request = nil
	c.timer = nil
}

// close closes the connection. It does not call the callback of a request in flight.
func (c *connection) close() {
	c.closed = true
	c.finishRequest()
	if c.conn != nil {
		c.conn.Close()
	}
}

// fail closes the connection and passes the error to the callback of the request in flight. Without such a request it does
// nothing.
func (c *connection) fail(err error) {
	if r := c.request; !c.closed && r != nil {
		c.close()
		r.done(nil, 0, err)
	}
}

// Opened implements evloop.Handler.
func (c *connection) Opened() {
	c.connected = true
	if c.request != nil {
		c.writeRequest()
	}
}

// Data implements evloop.Handler.
func (c *connection) Data(b []byte) {
	r := c.request
	if r == nil { // unsolicited data
		c.close()
		return
	}
	r.received = true
	if err := r.parser.Feed(b); err != nil {
		kind := InvalidResponse
		if errors.Is(err, httpresponse.ErrTooLong) {
			kind = ResponseTooLarge
		}
		c.fail(kind.Wrap(place(c.addr, r.path), err))
		return
	}
	if r.parser.Done() {
		c.finishResponse()
	} else if r.idleTimeout > 0 {
		c.startTimer()
	}
}

// appendBody appends bytes that the parser extracted to the response body. It returns httpresponse.ErrTooLong above the limit.
func (c *connection) appendBody(b []byte) error {
	r := c.request
	maxBytes := r.maxBytes
	if r.parser.Status() != http.StatusOK {
		maxBytes = maxErrorBytes
	}
	if int64(len(r.body)+len(b)) > maxBytes {
		return httpresponse.ErrTooLong
	}
	if remaining := r.parser.Remaining(); r.body == nil && remaining > 0 && remaining <= maxBytes {
		r.body = make([]byte, 0, int(remaining)+len(b))
	}
	r.body = append(r.body, b...)
	return nil
}

// finishResponse completes the request in flight with its response.
func (c *connection) finishResponse() {
	r := c.request
	if r.parser.Status() != http.StatusOK {
		c.fail(r.rejection(c.addr))
		return
	}
	if c.persistent {
		c.finishRequest()
		c.responses++
	} else {
		c.close()
	}
	r.done(r.body, r.sent, nil)
}

// rejection returns the error for a response whose status is not 200. The body is a controlplane.ErrorResponse if a replica
// sent it.
func (r *request) rejection(addr string) error {
	status := r.parser.Status()
	var response struct{ Kind, Place, Cause, Remedy string }
	if json.Unmarshal(r.body, &response) != nil || response.Cause == "" {
		return Rejected.New(place(addr, r.path), "status %d", status)
	}
	return Rejected.New(place(addr, r.path), "status %d, %s: %s: %s (%s)", status, response.Kind, response.Place, response.Cause,
		response.Remedy)
}

// Drained implements evloop.Handler. A connection ignores it, because it writes nothing after a request.
func (c *connection) Drained() {}

// EOF implements evloop.Handler.
func (c *connection) EOF() { c.Closed(errors.New("the replica closed the connection")) }

// Closed implements evloop.Handler. The replica may close a persistent connection just as a request is sent. The request is
// then sent once more, over a new connection.
func (c *connection) Closed(err error) {
	r := c.request
	switch {
	case c.closed:
	case r == nil:
		c.close()
	case r.parser.CloseDelimited() && r.parser.Status() == http.StatusOK:
		c.persistent = false
		c.finishResponse()
	case c.responses > 0 && !r.received:
		c.close()
		if c.client.renewalConn == c {
			c.client.renewalConn = &connection{client: c.client, addr: c.addr, persistent: true}
			c.client.renewalConn.send(r)
		}
	default:
		c.fail(NoResponse.Wrap(place(c.addr, r.path), err))
	}
}
