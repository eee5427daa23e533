package discovery

import (
	"fmt"
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/httpresponse"
)

const statusOK = 200 // not http.StatusOK: importing net/http would increase the proxy's memory use

// stage is the progress of a call.
type stage int

const (
	dialing     stage = iota
	requested         // the connection is established and the request has been written
	headersRead       // the response headers have been received
	streaming         // a watch has received an object or an empty line
	stalled           // a watch that was streaming has received no byte for StandbyAfter or longer
	closed
)

// call is one HTTP request to discovery: a watch, or a fetch of the whole list. It is the evloop.Handler of its connection.
type call struct {
	client  *Client
	addr    string
	path    string
	watch   bool
	stage   stage
	conn    *evloop.Conn
	parser  *httpresponse.Parser
	stream  objectStream
	objects int           // complete objects received
	timeout *evloop.Timer // fails a call that gets no response in time, and a watch that makes no progress

	// Times of the loop's clock:
	missingSince time.Duration // earliest time at which discovery may have had an update that this call has not delivered
	lastByteAt   time.Duration // start of the call if no byte has been received
	progressAt   time.Duration // arrival of the latest object or empty line; start of the call if there is none

	// Fields of a fetch:
	fetched  *List
	internal bool // started by the client itself, which recovers from a failure with the next watch
	retried  bool // this is the second attempt

	// Fields of a watch:
	generation     int64         // of the latest list received, or of the list from which the watch started
	listGeneration int64         // on the watch of a previous address: of the latest list received from there
	replacedErr    *CallError    // error of the watch that this one replaced; nil: none, or this one has made progress since
	idleTimer      *evloop.Timer // starts a standby when no byte arrives
}

var _ evloop.Handler = (*call)(nil)

// newCall dials Addr and starts the call's timeout. The call ends with deliver, report or close.
func (c *Client) newCall(path string, watch bool) *call {
	now := c.Loop.Now()
	k := &call{
		client:       c,
		addr:         c.Addr,
		path:         path,
		watch:        watch,
		missingSince: now,
		lastByteAt:   now,
		progressAt:   now,
		generation:   c.Generation,
	}
	k.parser = httpresponse.New(k.onBody)
	c.afterPendingReads(&k.timeout, c.times().CallTimeout, func() { k.fail(timedOut.New("", "no answer in time")) })
	conn, err := c.Loop.Dial(k.addr, k)
	if err != nil {
		// The failure is reported in a later turn of the loop because the caller has not returned yet.
		c.Loop.After(0, func() { k.fail(err) })
		return k
	}
	k.conn = conn
	return k
}

// close ends the call without reporting anything.
func (k *call) close() {
	k.stage = closed
	delete(k.client.fetches, k)
	k.client.Loop.Cancel(k.timeout)
	k.client.Loop.Cancel(k.idleTimer)
	if k.conn != nil {
		k.conn.Close()
	}
	k.stream.Close()
}

// missedSince returns the earliest time at which discovery may have had an update that this call, which failed with err, did not
// deliver. That is the start of the call, or the time when it, or the watch that it replaced, stopped receiving. A watch that was
// streaming until now has missed nothing.
func (k *call) missedSince(err error) time.Duration {
	now := k.client.Loop.Now()
	switch {
	case k.stage < streaming:
		return k.missingSince
	case timedOut.Matches(err):
		return k.progressAt
	case now-k.lastByteAt >= k.client.times().StandbyAfter:
		return k.lastByteAt
	}
	return now
}

// fail ends a watch, or a fetch that received no list. The reaction depends on the role of the call: the watch of a previous
// address ends without a report, a failed standby is followed by another one, a fetch that timed out is retried once, and a watch
// is replaced by its standby or restarted.
func (k *call) fail(err error) {
	c := k.client
	if k.stage == closed {
		return
	}
	ended := *k // copied before close changes the stage
	k.close()
	switch {
	case c.previousWatch == k: // the watch of the new address continues
		c.previousWatch = nil
		return
	case c.standby == k && c.standbyAttempts < maxStandbyAttempts: // the stalled watch stays open
		c.standby = nil
		c.Loop.Cancel(c.standbyTimer)
		c.afterPendingReads(&c.standbyTimer, c.times().standbyRetryDelay(c.randomFraction()), c.startStandby)
		return
	case c.standby == k:
		k.failWithStalledWatch()
	case !k.watch && !k.retried && !k.internal && timedOut.Matches(err):
		c.newFetch().retried = true
		return
	case c.watch == k && c.standbyCanReplace(err):
		c.promoteStandby(k, err)
		return
	case c.watch == k:
		c.closeStandby()
		c.watch = nil
		c.scheduleRestart(&ended, err)
	case k.internal: // the next watch requests the whole list
		c.Generation = 0
		c.scheduleRestart(&ended, err)
	}
	// The receiver of the report repeats any other fetch.
	c.report(k, err)
}

// failWithStalledWatch ends the stalled watch together with its last standby, which has failed.
func (k *call) failWithStalledWatch() {
	c := k.client
	stalledWatch := c.watch
	ended := *stalledWatch
	stalledWatch.close()
	c.promoteStandby(stalledWatch, watchTimedOut())
	c.watch = nil
	c.scheduleRestart(&ended, watchTimedOut())
}

// standbyCanReplace reports whether the standby replaces a watch that ended with err. After a timeout the standby must have sent
// its request. No standby replaces a watch that sent an invalid list.
func (c *Client) standbyCanReplace(err error) bool {
	return c.standby != nil && (c.standby.stage >= requested || !timedOut.Matches(err)) && !invalidList.Matches(err)
}

// report passes the failure of a call to OnFailure.
func (c *Client) report(k *call, err error) {
	failure := k.newError(err)
	failure.Replaced = k.replacedErr
	c.OnFailure(fmt.Errorf("discovery: %w", failure))
}

// newError returns the CallError of a call that ended with err; Replaced is not set. An error without a kind is a connection error
// and gets the kind unreachable.
func (k *call) newError(err error) *CallError {
	return &CallError{
		Addr:         k.addr,
		Path:         k.path,
		Object:       k.objects + 1,
		PendingBytes: k.stream.Pending(),
		Err:          unreachable.WrapUntyped("", err),
	}
}

// Opened sends the request.
func (k *call) Opened() {
	k.stage = requested
	k.conn.Write([]byte("GET " + k.path + " HTTP/1.1\r\nHost: " + k.addr +
		"\r\nAccept: application/json\r\n\r\n"))
}

// Data parses the response.
func (k *call) Data(data []byte) {
	k.lastByteAt = k.client.Loop.Now()
	if err := k.parser.Feed(data); err != nil {
		if !invalidList.Matches(err) {
			err = notDiscovery.Wrap("", err)
		}
		k.fail(err)
		return
	}
	status := k.parser.Status()
	if k.stage == requested && status != 0 {
		k.stage = headersRead
	}
	if status != 0 && status != statusOK {
		k.fail(rejected.New("", "status %d", status))
	} else if k.parser.Done() {
		k.EOF()
	}
}

// EOF handles the end of the response: it completes a fetch and fails a watch.
func (k *call) EOF() {
	if k.stage == closed {
		return
	}
	if k.watch || k.parser.Status() != statusOK || !k.parser.Done() && !k.parser.CloseDelimited() {
		k.fail(truncated.New("", "the response ended"))
		return
	}
	if err := k.finishFetch(); err != nil {
		k.fail(err)
		return
	}
	k.close()
	k.client.deliver(*k.fetched, balancer.FullList)
}

// finishFetch checks that a complete response contains exactly one list and that the list is usable.
func (k *call) finishFetch() error {
	list, found, err := k.stream.End()
	if err == nil && found {
		err = k.acceptFetched(list)
	}
	switch {
	case err != nil:
		return err
	case k.fetched == nil:
		return invalidList.New(listPlace, "the response contains no object")
	case k.client.watch != nil && k.fetched.Generation < k.client.Generation:
		return superseded.New("", "the watch has received a newer list")
	}
	return k.client.checkNotEmpty(*k.fetched, true)
}

// Drained does nothing because a call writes only its short request.
func (k *call) Drained() {}

// Closed fails the call.
func (k *call) Closed(err error) { k.fail(err) }

// onBody handles bytes of the response body: any number of objects for a watch, exactly one for a fetch.
func (k *call) onBody(data []byte) error {
	if k.stage == closed || k.parser.Status() != statusOK {
		return nil
	}
	k.onBytes()
	return k.stream.Feed(data, k.onProgress, k.onObject)
}

// onObject handles one object of the body. An error fails the call.
func (k *call) onObject(list List) error {
	if !k.watch {
		return k.acceptFetched(list)
	}
	k.onProgress()
	kind := balancer.DeltaList
	if list.Reset {
		kind = balancer.FullList
	}
	err := k.acceptWatched(list, kind)
	if err == nil {
		k.objects++
	}
	return err
}

// acceptFetched keeps the object of a fetch until the response ends.
func (k *call) acceptFetched(list List) error {
	if k.fetched != nil {
		return invalidList.New(listPlace, "more than one object in the response to a fetch")
	}
	k.fetched = &list
	return nil
}

// onBytes handles the arrival of any bytes. Bytes on the current watch show that it is alive: its standby is closed or canceled, and
// the timer that starts the next one is reset. If a standby had been started too early, later ones wait longer.
func (k *call) onBytes() {
	c := k.client
	if c.watch != k || k.stage < streaming {
		return
	}
	k.stage = streaming
	if c.standbyAttempts > 0 {
		c.lineDelay = min(c.lineDelay+c.times().lineDelayStep(), c.times().Jitter)
	}
	c.closeStandby()
	c.Loop.Cancel(k.idleTimer)
	c.afterPendingReads(&k.idleTimer, c.times().standbyDelay(c.lineDelay, c.randomFraction()), func() {
		k.stage = stalled
		c.startStandby()
	})
}

// onProgress handles an empty line or a complete object on a watch. Bytes of an object that is not complete within WatchTimeout do
// not count as progress.
func (k *call) onProgress() {
	c := k.client
	if !k.watch {
		return
	}
	k.stage = streaming
	k.progressAt = c.Loop.Now()
	if c.previousWatch != k {
		c.lostWatches = 0
	}
	if c.standby == k {
		stalledWatch := c.watch
		stalledWatch.close()
		c.promoteStandby(stalledWatch, watchTimedOut())
	}
	if c.watch == k && k.replacedErr != nil {
		if c.OnNotice != nil {
			c.OnNotice(fmt.Errorf("discovery: %w; the standby watch has replaced it", k.replacedErr))
		}
		k.replacedErr = nil
	}
	k.onBytes()
	c.Loop.Cancel(k.timeout)
	c.afterPendingReads(&k.timeout, c.times().WatchTimeout, func() { k.fail(watchTimedOut()) })
}

// acceptWatched passes on an object of a watch. It rejects an object of an older generation, which would bring back removed
// endpoints. The next watch then requests the whole list, so that the client can follow a discovery server whose generations
// started again from a lower number.
func (k *call) acceptWatched(list List, kind balancer.ListKind) error {
	c := k.client
	if err := c.checkNotEmpty(list, kind == balancer.FullList); err != nil {
		return err
	}
	if k == c.previousWatch {
		if list.Generation >= k.listGeneration {
			k.listGeneration = list.Generation
			c.OnList(list, kind)
		}
		return nil
	}
	if list.Generation < k.generation {
		c.Generation = 0
		return invalidList.New(listPlace, "generation %d after %d", list.Generation, k.generation)
	}
	k.generation = list.Generation
	if list.Generation < c.Generation {
		return nil // included in a whole list that was fetched in the meantime
	}
	if c.awaitingFirstList {
		c.awaitingFirstList = false
		c.mixedSources = true
		c.closePreviousWatch()
	}
	if c.mixedSources && kind == balancer.DeltaList && !c.internalFetchPending() {
		// The changes do not remove endpoints that only the old address listed, so the whole list is fetched.
		c.newFetch().internal = true
	}
	c.deliver(list, kind)
	return nil
}
