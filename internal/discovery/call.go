package discovery

import (
	"fmt"
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/httpresponse"
)

const statusOK = 200 // net/http would add to the proxy's memory

// stage is how far a call has come.
type stage int

const (
	dialing     stage = iota
	requested         // the connection is up and the request was written
	headersRead       // the response's headers have come
	streaming         // a watch has brought an object or an empty line
	stalled           // a watch that was streaming has brought no byte for StandbyAfter or more
	closed
)

// call is one HTTP request to discovery, a watch or a fetch of the whole list. It is its connection's evloop.Handler.
type call struct {
	client  *Client
	addr    string
	path    string
	watch   bool
	stage   stage
	conn    *evloop.Conn
	parser  *httpresponse.Parser
	stream  objectStream
	objects int           // that came whole
	timeout *evloop.Timer // ends the call, or a watch that brings nothing

	// By the loop's clock:
	missingSince time.Duration // from when on discovery may have had what the call has to bring
	lastByteAt   time.Duration // the call's start where no byte has come
	progressAt   time.Duration // when the latest object or empty line came; the call's start where none has

	// Of a fetch:
	fetched  *List
	internal bool // the client's own: its failure is made good by the next watch
	retried  bool // it is the second attempt

	// Of a watch:
	generation     int64         // of its latest list, or of the list from which it was started
	listGeneration int64         // of a previous address's watch: of the latest list from there
	replacedErr    *CallError    // how the watch ended whose place this one took, until this one brings something; nil: none
	probeTimer     *evloop.Timer // starts a standby when no byte has come
}

var _ evloop.Handler = (*call)(nil)

// newCall dials Addr and starts the call's timeout. The call ends in accept or report, or by close.
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
		// Reported in a later turn: the caller has not returned yet.
		c.Loop.After(0, func() { k.fail(err) })
		return k
	}
	k.conn = conn
	return k
}

// close ends the call without a report.
func (k *call) close() {
	k.stage = closed
	delete(k.client.fetches, k)
	k.client.Loop.Cancel(k.timeout)
	k.client.Loop.Cancel(k.probeTimer)
	if k.conn != nil {
		k.conn.Close()
	}
	k.stream.Close()
}

// missedSince returns the loop's time from which on discovery may have had what this call, which failed with err, did not bring:
// its start, or when it, or the watch that it replaced, stopped sending. A watch that was streaming until now has missed nothing.
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

// fail ends a fetch that brought no list, or a watch. What follows depends on the call's role: a previous address's watch ends
// without a report, a standby is started again, a fetch is tried twice, a watch is replaced by its standby or restarted.
func (k *call) fail(err error) {
	c := k.client
	if k.stage == closed {
		return
	}
	ended := *k // with the stage in which it ended
	k.close()
	switch {
	case c.previousWatch == k: // the new address's watch goes on
		c.previousWatch = nil
		return
	case c.standby == k && c.standbyAttempts < maxStandbyAttempts: // the stalled watch goes on
		c.standby = nil
		c.Loop.Cancel(c.standbyTimer)
		c.afterPendingReads(&c.standbyTimer, c.times().standbyRetryDelay(c.randomFraction()), c.startStandby)
		return
	case c.standby == k:
		k.failWithStalledWatch()
	case !k.watch && !k.retried && !k.internal && timedOut.Matches(err):
		c.newFetch().retried = true
		return
	case c.watch == k && c.standbyServes(err):
		c.promoteStandby(k, err)
		return
	case c.watch == k:
		c.closeStandby()
		c.watch = nil
		c.scheduleRestart(&ended, err)
	case k.internal: // the next watch asks for everything
		c.Generation = 0
		c.scheduleRestart(&ended, err)
	}
	// Any other fetch is repeated by whoever gets the report.
	c.report(k, err)
}

// failWithStalledWatch ends the stalled watch with its last standby.
func (k *call) failWithStalledWatch() {
	c := k.client
	stalledWatch := c.watch
	ended := *stalledWatch
	stalledWatch.close()
	c.promoteStandby(stalledWatch, watchTimedOut())
	c.watch = nil
	c.scheduleRestart(&ended, watchTimedOut())
}

// standbyServes reports whether the standby takes the place of a watch that ended with err: it has been requested already, and
// answers for both.
func (c *Client) standbyServes(err error) bool {
	return c.standby != nil && (c.standby.stage >= requested || !timedOut.Matches(err)) && !invalidList.Matches(err)
}

// report passes a call's failure on.
func (c *Client) report(k *call, err error) {
	failure := k.newError(err)
	failure.Replaced = k.replacedErr
	c.OnFailure(fmt.Errorf("discovery: %w", failure))
}

// newError returns the error of a call that ended with err, without the watch whose place the call had taken. An error without a
// kind is one of the connection.
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

// EOF is called when the response has ended: it finishes a fetch, and fails a watch.
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
	k.client.accept(*k.fetched, balancer.FullList)
}

// finishFetch checks that a response that has come whole has one list, and that it can be used.
func (k *call) finishFetch() error {
	list, found, err := k.stream.End()
	if err == nil && found {
		err = k.acceptFetched(list)
	}
	switch {
	case err != nil:
		return err
	case k.fetched == nil:
		return invalidList.New(listPlace, "no object came")
	case k.client.watch != nil && k.fetched.Generation < k.client.Generation:
		return superseded.New("", "the watch has brought a newer list")
	}
	return k.client.checkNotEmptied(*k.fetched, true)
}

// Drained does nothing: a request is short.
func (k *call) Drained() {}

// Closed fails the call.
func (k *call) Closed(err error) { k.fail(err) }

// onBody handles bytes of the response's body: a watch brings any number of objects, a fetch one in all.
func (k *call) onBody(data []byte) error {
	if k.stage == closed || k.parser.Status() != statusOK {
		return nil
	}
	k.onBytes()
	return k.stream.Feed(data, k.onProgress, k.onObject)
}

// onObject handles an object of the body. Its error ends the call.
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

// acceptFetched keeps a fetch's object until the response has ended.
func (k *call) acceptFetched(list List) error {
	if k.fetched != nil {
		return invalidList.New(listPlace, "more than one object where one was asked for")
	}
	k.fetched = &list
	return nil
}

// onBytes is called for any bytes of a call. Those of the followed watch make a standby needless that was started, or is due,
// because no byte came; the next one is due later.
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
	c.Loop.Cancel(k.probeTimer)
	c.afterPendingReads(&k.probeTimer, c.times().probeDelay(c.lineDelay, c.randomFraction()), func() {
		k.stage = stalled
		c.startStandby()
	})
}

// onProgress is called for an empty line or an object of a watch. An object that does not end within WatchTimeout is no
// progress.
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
			c.OnNotice(fmt.Errorf("discovery: %w; another one has taken its place", k.replacedErr))
		}
		k.replacedErr = nil
	}
	k.onBytes()
	c.Loop.Cancel(k.timeout)
	c.afterPendingReads(&k.timeout, c.times().WatchTimeout, func() { k.fail(watchTimedOut()) })
}

// acceptWatched passes on a watch's object. One whose generation goes back is rejected, since it would bring back endpoints
// that were removed; discovery is then asked for everything, so that one that counts anew is followed too.
func (k *call) acceptWatched(list List, kind balancer.ListKind) error {
	c := k.client
	if err := c.checkNotEmptied(list, kind == balancer.FullList); err != nil {
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
		return nil // a whole list that was fetched meanwhile includes it
	}
	if c.awaitingNewAddress {
		c.awaitingNewAddress = false
		c.mixedSources = true
		c.closePreviousWatch()
	}
	if c.mixedSources && kind == balancer.DeltaList && !c.ownFetchPending() {
		// Endpoints that only the old discovery listed are not among the new one's changes.
		c.newFetch().internal = true
	}
	c.accept(list, kind)
	return nil
}
