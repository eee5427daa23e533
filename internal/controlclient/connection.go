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
	text        []byte        // the whole HTTP request
	maxBytes    int64         // of the answer's body
	deadline    time.Duration // on the loop's clock
	idleTimeout time.Duration // the longest time without a byte of the answer; 0: the deadline alone counts
	done        func(body []byte, sent time.Duration, err error)

	sent     time.Duration // on the loop's clock
	received bool          // a byte of the answer
	parser   *httpresponse.Parser
	body     []byte // of the answer, as far as it has arrived
}

// connection is a connection to a replica, with at most one request in flight. It implements evloop.Handler. Its life:
//
//   - send dials, or writes over the connection that is up.
//   - finishAnswer ends a request with its answer: a persistent connection then waits for the next request.
//   - fail ends a request with an error, and the connection with it; close ends both without a callback.
type connection struct {
	client     *Client
	addr       string
	persistent bool // stays open after an answer
	conn       *evloop.Conn
	connected  bool
	closed     bool
	answers    int      // complete answers that came over it
	request    *request // nil: none is in flight
	timer      *evloop.Timer
}

// send sends a request over the connection, which it opens first if needed.
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
		// In a later turn, because the caller has not returned yet.
		c.client.loop.After(0, func() { c.fail(NoResponse.Wrap(place(c.addr, r.path), err)) })
		return
	}
	c.conn = conn
}

// startTimer sets the time by which the next byte has to arrive.
func (c *connection) startTimer() {
	loop := c.client.loop
	r := c.request
	loop.Cancel(c.timer)
	remaining := r.deadline - loop.Now()
	if r.idleTimeout > 0 {
		remaining = min(remaining, r.idleTimeout)
	}
	c.timer = loop.After(remaining, func() {
		c.fail(NoResponse.New(place(c.addr, r.path), "no answer in time, %d bytes of it", len(r.body)))
	})
}

func (c *connection) writeRequest() {
	c.request.sent = c.client.loop.Now() // the turn's time, which is not later than the write
	c.conn.Write(c.request.text)
}

// finishRequest forgets the request and its timer. They would keep a version's text in memory as long as the client exists.
func (c *connection) finishRequest() {
	c.client.loop.Cancel(c.timer)
	c.request = nil
	c.timer = nil
}

// close closes the connection. A request in flight gets no callback.
func (c *connection) close() {
	c.closed = true
	c.finishRequest()
	if c.conn != nil {
		c.conn.Close()
	}
}

// fail closes the connection and ends the request in flight with an error.
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
	if r == nil { // nothing was requested
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
		c.finishAnswer()
	} else if r.idleTimeout > 0 {
		c.startTimer()
	}
}

// appendBody takes bytes of the answer's body from the parser.
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

// finishAnswer ends the request in flight with its complete answer.
func (c *connection) finishAnswer() {
	r := c.request
	if r.parser.Status() != http.StatusOK {
		c.fail(r.rejection(c.addr))
		return
	}
	if c.persistent {
		c.finishRequest()
		c.answers++
	} else {
		c.close()
	}
	r.done(r.body, r.sent, nil)
}

// rejection returns the error of an answer whose status is not 200: its body is a controlplane.ErrorResponse, or what
// something else sends.
func (r *request) rejection(addr string) error {
	status := r.parser.Status()
	var response struct{ Kind, Place, Cause, Remedy string }
	if json.Unmarshal(r.body, &response) != nil || response.Cause == "" {
		return Rejected.New(place(addr, r.path), "status %d", status)
	}
	return Rejected.New(place(addr, r.path), "status %d, %s: %s: %s (%s)", status, response.Kind, response.Place, response.Cause,
		response.Remedy)
}

// Drained implements evloop.Handler. A connection waits for an answer after its request and needs no notice.
func (c *connection) Drained() {}

// EOF implements evloop.Handler.
func (c *connection) EOF() { c.Closed(errors.New("the replica closed the connection")) }

// Closed implements evloop.Handler. A persistent connection may have been closed by the replica just as a request was sent:
// then the request is sent once more, over a new connection.
func (c *connection) Closed(err error) {
	r := c.request
	switch {
	case c.closed:
	case r == nil:
		c.close()
	case r.parser.CloseDelimited() && r.parser.Status() == http.StatusOK:
		c.persistent = false
		c.finishAnswer()
	case c.answers > 0 && !r.received:
		c.close()
		if c.client.renewals == c {
			c.client.renewals = &connection{client: c.client, addr: c.addr, persistent: true}
			c.client.renewals.send(r)
		}
	default:
		c.fail(NoResponse.Wrap(place(c.addr, r.path), err))
	}
}
