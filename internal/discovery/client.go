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

// Client follows discovery's endpoint list. A fetch ends in one report, a list or a failure. A watch reports lists and changes
// until it is lost, and then one failure, but for a previous address's watch and one whose standby takes its place. A watch that
// is wanted and lost is restarted by the client itself, in the times that Times gives. The exported fields are set before the
// first call; only Times and PollInterval may change later. All methods and callbacks run on the loop.
type Client struct {
	Loop          *evloop.Loop
	Addr          string // SetAddress changes it
	Generation    int64  // of the latest list
	SeenEndpoints bool   // some list has named an endpoint
	OnList        func(List, balancer.ListKind)
	OnFailure     func(error)   // gets an error that wraps a CallError
	OnNotice      func(error)   // gets a CallError too: a watch was lost and its standby has taken its place; nil: not reported
	Times         Times         // the zero value stands for DefaultTimes
	PollInterval  time.Duration // from the settings: how often discovery is to be asked
	Seed          uint64        // of this proxy's random delays; 0: from the time and the process id

	watchWanted bool
	watch       *call          // the one that is followed; nil: none
	fetches     map[*call]bool // under way

	// After a change of the address:
	previousWatch      *call // the watch at the address before, until the new one brings a list
	awaitingNewAddress bool  // the new address has not brought a list yet
	addressChangedAt   time.Duration
	mixedSources       bool // the known list may name endpoints that only the discovery before had

	// A standby watch is started beside one that has stalled, and takes its place if it is the first to bring something.
	standby         *call
	standbyAttempts int           // beside the watch since its latest byte
	standbyTimer    *evloop.Timer // starts the next standby, or ends one that does not connect
	lineDelay       time.Duration // by which earlier lines of watches came late; a standby waits that much longer

	restartTimer *evloop.Timer // starts a watch in place of a lost one; nil: none is due
	lostWatches  int           // in a row

	random *rand.Rand
}

// Watch asks for changes from now on, or cancels that. Where the client restarts lost watches itself (Times.FreshnessBound is
// set), it does nothing while a watch is up, under way or due. Elsewhere it starts a watch anew, unless SetAddress has just
// started one.
func (c *Client) Watch(on bool) {
	c.watchWanted = on
	if !on {
		c.stopWatches()
		c.closePreviousWatch()
		return
	}
	startedBySetAddress := c.watch != nil && c.awaitingNewAddress
	restartsItself := c.times().FreshnessBound > 0
	if startedBySetAddress || restartsItself && (c.watch != nil || c.restartTimer != nil) {
		return
	}
	c.restartWatch()
}

// restartWatch starts a watch in place of whatever there is.
func (c *Client) restartWatch() {
	c.stopWatches()
	c.watch = c.newWatch()
}

// stopWatches ends all watches but the previous address's, and cancels those that are due.
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

// newWatch starts a call for the changes since the latest list.
func (c *Client) newWatch() *call {
	return c.newCall(listPath+"?watch=1&from="+strconv.FormatInt(c.Generation, 10), true)
}

// Fetch asks for the whole list once.
func (c *Client) Fetch() { c.newFetch() }

func (c *Client) newFetch() *call {
	if c.fetches == nil {
		c.fetches = map[*call]bool{}
	}
	fetch := c.newCall(listPath, false)
	c.fetches[fetch] = true
	return fetch
}

// SetAddress changes to another discovery without a gap: the watch at the old address is followed until the new one brings a
// list, so that no change is missed meanwhile. How the old watch ends is not reported. Generations of two discoveries
// do not compare, so the new one is asked for everything. A change back to an address whose watch is still followed resumes
// that watch, without a call.
func (c *Client) SetAddress(addr string) {
	if addr == c.Addr {
		return
	}
	resumed := c.previousWatch
	if resumed != nil && resumed.addr != addr {
		resumed = nil
	}
	watchBroughtList := !c.awaitingNewAddress
	generation := c.Generation
	c.Addr = addr
	c.Generation = 0
	c.awaitingNewAddress = true
	c.addressChangedAt = c.Loop.Now()
	c.lostWatches = 0
	c.closeStandby()
	c.cancelRestart()
	c.repeatFetches()
	if resumed != nil {
		c.resumePreviousWatch(resumed)
		return
	}
	if watch := c.watch; watch != nil && watch.stage >= streaming && watchBroughtList {
		c.closePreviousWatch()
		watch.listGeneration = generation
		c.previousWatch = watch
		c.Loop.Cancel(watch.probeTimer)
	} else if watch != nil {
		watch.close()
	}
	c.watch = nil
	if c.watchWanted {
		c.watch = c.newWatch()
	}
}

// repeatFetches asks the new address for what the old one was asked for.
func (c *Client) repeatFetches() {
	for _, fetch := range slices.Collect(maps.Keys(c.fetches)) {
		fetch.close()
		if !fetch.internal {
			c.Fetch()
		}
	}
}

// resumePreviousWatch follows the previous address's watch again, from its latest list.
func (c *Client) resumePreviousWatch(previous *call) {
	if c.watch != nil {
		c.watch.close()
	}
	c.watch = previous
	c.previousWatch = nil
	c.Generation = previous.listGeneration
	c.awaitingNewAddress = false
	previous.onBytes()
}

// HasSynced reports whether the discovery at Addr has brought a list since SetAddress.
func (c *Client) HasSynced() bool { return !c.awaitingNewAddress }

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

// startStandby starts a watch beside one that has stalled, with half of the usual time to connect.
func (c *Client) startStandby() {
	c.standbyAttempts++
	standby := c.newWatch()
	c.standby = standby
	c.Loop.Cancel(c.standbyTimer)
	c.afterPendingReads(&c.standbyTimer, c.times().CallTimeout/2, func() {
		// One that has sent its request waits for its turn at discovery.
		if c.standby == standby && standby.stage < requested {
			standby.fail(timedOut.New("", "no connection in time"))
		}
	})
}

// promoteStandby puts the standby in place of a watch that has ended with err.
func (c *Client) promoteStandby(lost *call, err error) {
	c.watch = c.standby
	c.standby = nil
	c.watch.missingSince = lost.missedSince(err)
	c.watch.replacedErr = lost.newError(err)
	c.closeStandby()
}

// scheduleRestart starts a watch in place of a lost one, early enough that a change is known within the freshness bound. The
// bound counts from when the lost watch may have missed something.
func (c *Client) scheduleRestart(lost *call, err error) {
	times := c.times()
	if !c.watchWanted || times.FreshnessBound == 0 {
		return
	}
	now := c.Loop.Now()
	elapsed := now - lost.missedSince(err)
	if c.awaitingNewAddress {
		// The tighter bound after a change of the address counts until it can no longer be kept.
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

// accept passes a list on that discovery at Addr has sent.
func (c *Client) accept(list List, kind balancer.ListKind) {
	c.Generation = list.Generation
	c.SeenEndpoints = c.SeenEndpoints || len(list.Instances) > 0
	c.mixedSources = c.mixedSources && kind == balancer.DeltaList
	c.OnList(list, kind)
}

// checkNotEmptied rejects a whole list without any endpoint where endpoints were known: it would drain all of them.
func (c *Client) checkNotEmptied(list List, whole bool) error {
	if whole && len(list.Instances) == 0 && c.SeenEndpoints {
		return invalidList.New(listPlace, "the whole list is empty, the one in use stays")
	}
	return nil
}

// ownFetchPending reports whether the client itself has a fetch under way.
func (c *Client) ownFetchPending() bool {
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

// randomWithin returns a random duration below span, drawn from this proxy's own source.
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

// randomFraction returns a random number from 0 to below 1, in steps of a billionth.
func (c *Client) randomFraction() float64 {
	return float64(c.randomWithin(time.Second)) / float64(time.Second)
}

// afterPendingReads runs callback after the delay, unless the timer is canceled by what is read until then. After a pause of
// the process timers come before reads, so the callback gets a further turn. The timer is kept in *timer.
func (c *Client) afterPendingReads(timer **evloop.Timer, delay time.Duration, callback func()) {
	*timer = c.Loop.After(delay, func() { *timer = c.Loop.After(0, callback) })
}
