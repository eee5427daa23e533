package discovery

import (
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/evloop"
)

const listPath = "/registry/instances"

// Client follows the endpoint list of discovery. A fetch reports exactly one list or one failure. A watch reports lists and changes
// until it is lost, and then one failure; the loss of a previous address's watch, or of a watch that its standby replaces, is not a
// failure. The client restarts a lost watch itself, after the delays of Times, as long as Watch(true) is in effect. The exported
// fields must be set before the first call; only Times and PollInterval may change later. All methods and callbacks run on the loop.
type Client struct {
	Loop          *evloop.Loop
	Addr          string // numeric host and port; SetAddress changes it
	Generation    int64  // of the latest list
	SeenEndpoints bool   // whether any list so far contained an endpoint
	OnList        func(List, balancer.ListKind)
	OnFailure     func(error)   // called with an error that wraps a CallError
	OnNotice      func(error)   // called with an error that wraps a CallError when a standby has replaced a lost watch; may be nil
	Times         Times         // the zero value selects DefaultTimes
	PollInterval  time.Duration // interval at which discovery is polled, from the settings
	Seed          uint64        // seeds the random delays together with the process ID; 0: the time is used

	watchWanted bool
	watch       *call          // the current watch; nil: none
	fetches     map[*call]bool // fetches in progress

	// State after a change of the address:
	previousWatch     *call // the watch of the previous address, until the new address sends a list
	awaitingFirstList bool  // Addr has not sent a list since SetAddress
	addressChangedAt  time.Duration
	mixedSources      bool // the current list may contain endpoints that only the previous address listed

	// A standby watch is started next to a stalled watch and replaces it if the standby makes progress first.
	standby         *call
	standbyAttempts int           // standbys started since the latest byte of the watch
	standbyTimer    *evloop.Timer // starts the next standby, or fails one that does not connect
	lineDelay       time.Duration // observed lateness of lines; added to the wait before a standby starts

	restartTimer *evloop.Timer // restarts a lost watch; nil: no restart is due
	lostWatches  int           // consecutive lost watches

	random *rand.Rand
}

// Watch starts or stops watching for changes. If the client restarts lost watches itself (Times.FreshnessBound is set), Watch(true)
// does nothing while a watch is open, starting or due for a restart. Otherwise it replaces the current watch with a new one, unless
// SetAddress has just started one.
func (c *Client) Watch(on bool) {
	c.watchWanted = on
	if !on {
		c.stopWatches()
		c.closePreviousWatch()
		return
	}
	startedBySetAddress := c.watch != nil && c.awaitingFirstList
	restartsItself := c.times().FreshnessBound > 0
	if startedBySetAddress || restartsItself && (c.watch != nil || c.restartTimer != nil) {
		return
	}
	c.restartWatch()
}

// restartWatch closes the current watch and its standby, if any, and starts a new watch.
func (c *Client) restartWatch() {
	c.stopWatches()
	c.watch = c.newWatch()
}

// stopWatches closes all watches except that of the previous address, and cancels a restart that is due.
func (c *Client) stopWatches() {
	c.closeStandby()
	c.cancelRestart()
	if c.watch != nil {
		c.watch.close()
		c.watch = nil
	}
}

func (c *Client) cancelRestart() {
	c.Loop.Cancel(c.restartTimer)
	c.restartTimer = nil
}

// newWatch requests the changes since the latest list.
func (c *Client) newWatch() *call {
	return c.newCall(listPath+"?watch=1&from="+strconv.FormatInt(c.Generation, 10), true)
}

// Fetch requests the whole list once.
func (c *Client) Fetch() { c.newFetch() }

func (c *Client) newFetch() *call {
	if c.fetches == nil {
		c.fetches = map[*call]bool{}
	}
	fetch := c.newCall(listPath, false)
	c.fetches[fetch] = true
	return fetch
}

// SetAddress switches to another discovery server. The watch of the old address stays open until the new address sends a list, so
// that no change is missed in between; its end is not reported. Generations of two discovery servers are not comparable, so the
// whole list is requested from the new one. Switching back to an address whose watch is still open resumes that watch without a
// new call.
func (c *Client) SetAddress(addr string) {
	if addr == c.Addr {
		return
	}
	resumed := c.previousWatch
	if resumed != nil && resumed.addr != addr {
		resumed = nil
	}
	watchDeliveredList := !c.awaitingFirstList
	generation := c.Generation
	c.Addr = addr
	c.Generation = 0
	c.awaitingFirstList = true
	c.addressChangedAt = c.Loop.Now()
	c.lostWatches = 0
	c.closeStandby()
	c.cancelRestart()
	c.repeatFetches()
	if resumed != nil {
		c.resumePreviousWatch(resumed)
		return
	}
	if watch := c.watch; watch != nil && watch.stage >= streaming && watchDeliveredList {
		c.closePreviousWatch()
		watch.listGeneration = generation
		c.previousWatch = watch
		c.Loop.Cancel(watch.idleTimer)
	} else if watch != nil {
		watch.close()
	}
	c.watch = nil
	if c.watchWanted {
		c.watch = c.newWatch()
	}
}

// repeatFetches restarts the fetches in progress at the new address, except those that the client started itself.
func (c *Client) repeatFetches() {
	for _, fetch := range slices.Collect(maps.Keys(c.fetches)) {
		fetch.close()
		if !fetch.internal {
			c.Fetch()
		}
	}
}

// resumePreviousWatch makes the previous address's watch the current one again, at the generation of its latest list.
func (c *Client) resumePreviousWatch(previous *call) {
	if c.watch != nil {
		c.watch.close()
	}
	c.watch = previous
	c.previousWatch = nil
	c.Generation = previous.listGeneration
	c.awaitingFirstList = false
	previous.onBytes()
}

// HasSynced reports whether the discovery server at Addr has sent a list since the latest SetAddress.
func (c *Client) HasSynced() bool { return !c.awaitingFirstList }

func (c *Client) closePreviousWatch() {
	if c.previousWatch != nil {
		c.previousWatch.close()
		c.previousWatch = nil
	}
}

func (c *Client) closeStandby() {
	c.Loop.Cancel(c.standbyTimer)
	c.standbyAttempts = 0
	if c.standby != nil {
		c.standby.close()
		c.standby = nil
	}
}

// startStandby starts a watch next to a stalled one. It must connect within half of CallTimeout.
func (c *Client) startStandby() {
	c.standbyAttempts++
	standby := c.newWatch()
	c.standby = standby
	c.Loop.Cancel(c.standbyTimer)
	c.afterPendingReads(&c.standbyTimer, c.times().CallTimeout/2, func() {
		// A standby that has sent its request is kept, because discovery may queue the response.
		if c.standby == standby && standby.stage < requested {
			standby.fail(timedOut.New("", "no connection in time"))
		}
	})
}

// promoteStandby replaces a lost watch, which ended with err, by the standby.
func (c *Client) promoteStandby(lost *call, err error) {
	c.watch = c.standby
	c.standby = nil
	c.watch.missingSince = lost.missedSince(err)
	c.watch.replacedErr = lost.newError(err)
	c.closeStandby()
}

// scheduleRestart schedules the restart of a lost watch, early enough that a change is known within the freshness bound. The bound
// counts from the earliest time at which the lost watch may have missed a change.
func (c *Client) scheduleRestart(lost *call, err error) {
	times := c.times()
	if !c.watchWanted || times.FreshnessBound == 0 {
		return
	}
	now := c.Loop.Now()
	elapsed := now - lost.missedSince(err)
	if c.awaitingFirstList {
		// The tighter bound after a change of the address applies until it can no longer be met.
		sinceChange := now - c.addressChangedAt + times.FreshnessBound - times.AddressChangeFreshnessBound
		if sinceChange < times.latestCallStart() {
			elapsed = max(elapsed, sinceChange)
		}
	}
	c.Loop.Cancel(c.restartTimer)
	delay := times.restartDelay(c.PollInterval, elapsed, c.lostWatches, c.randomFraction())
	c.restartTimer = c.Loop.After(delay, func() {
		c.restartTimer = nil
		c.restartWatch()
	})
	c.lostWatches++
}

// deliver records a list from the discovery server at Addr and passes it to OnList.
func (c *Client) deliver(list List, kind balancer.ListKind) {
	c.Generation = list.Generation
	c.SeenEndpoints = c.SeenEndpoints || len(list.Instances) > 0
	c.mixedSources = c.mixedSources && kind == balancer.DeltaList
	c.OnList(list, kind)
}

// checkNotEmpty rejects a whole list without endpoints if endpoints are known, because it would drain all of them.
func (c *Client) checkNotEmpty(list List, whole bool) error {
	if whole && len(list.Instances) == 0 && c.SeenEndpoints {
		return invalidList.New(listPlace, "the whole list is empty; the list in use stays")
	}
	return nil
}

// internalFetchPending reports whether a fetch that the client started itself is in progress.
func (c *Client) internalFetchPending() bool {
	for fetch := range c.fetches {
		if fetch.internal {
			return true
		}
	}
	return false
}

func (c *Client) times() Times {
	if c.Times == (Times{}) {
		return DefaultTimes
	}
	return c.Times
}

// randomWithin returns a random duration from 0 to below span. Each client has its own source of random numbers.
func (c *Client) randomWithin(span time.Duration) time.Duration {
	if c.random == nil {
		seed := c.Seed
		if seed == 0 {
			seed = uint64(c.Loop.Now())
		}
		c.random = rand.New(rand.NewPCG(seed, uint64(os.Getpid())))
	}
	return time.Duration(c.random.Float64() * float64(span))
}

// randomFraction returns a random number from 0 to below 1, in steps of 1e-9.
func (c *Client) randomFraction() float64 {
	return float64(c.randomWithin(time.Second)) / float64(time.Second)
}

// afterPendingReads runs callback after the delay, once all pending reads have been handled; these may cancel the timer. After a
// pause of the process the loop runs timers before reads, so the callback is deferred by one more turn. *timer holds the timer.
func (c *Client) afterPendingReads(timer **evloop.Timer, delay time.Duration, callback func()) {
	*timer = c.Loop.After(delay, func() { *timer = c.Loop.After(0, callback) })
}
