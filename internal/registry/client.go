package registry

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"time"

	"example.org/micafront"
	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/httpin"
	"example.org/micafront/internal/remedy"
)

// Times are a client's. An empty line comes every 2 s on a quiet watch, and what discovery has to tell counts as told 6 s
// after a watch fell silent, whether it came or not. So a watch that misses a line is asked for anew beside the old one
// at once, and the old one is given up only when the new one speaks: a late line costs a call and nothing else.
// Discovery serves all proxies, a dozen calls a second; many watches may fall silent at one moment, and each proxy asks
// at a moment of its own within Spread.
type Times struct {
	Call    time.Duration // until the first object of an answer
	Ask     time.Duration // without a byte on a watch, until a second one is begun
	Spread  time.Duration
	Silence time.Duration // without an object or an empty line, until a watch is lost
}

// Usual are the times that go with discovery's promises.
var Usual = Times{Call: 2500 * time.Millisecond, Ask: 2500 * time.Millisecond, Spread: time.Second, Silence: 5500 * time.Millisecond}

// The kinds of a call's end that is no list, beside broken.
var (
	unreachable = remedy.NewKind("registry/unreachable", "see whether discovery runs at the address in the line and whether this machine reaches it: curl -sS http://ADDRESS/registry/instances; the list that is known goes on")
	silent      = remedy.NewKind("registry/silent", "see whether the network to discovery is cut (curl -sS http://ADDRESS/registry/instances from this machine), or discovery hangs; the proxy goes on asking by itself")
	refused     = remedy.NewKind("registry/refused", "with 503 discovery has too many callers or is down: restart no more proxies until it answers; with another code see that EDGE_DISCOVERY names discovery and not some other service")
	ended       = remedy.NewKind("registry/ended", "discovery or something between ended the answer: look at discovery's own log; the proxy asks again by itself")
	foreign     = remedy.NewKind("registry/foreign", "what answers there does not speak HTTP/1.1 as discovery does, or far too much of it: see that EDGE_DISCOVERY names discovery")
	overtaken   = remedy.NewKind("registry/overtaken", "nothing to do: the watch brought a newer list than the answer, which was dropped")
)

// tries is how often a second watch is begun beside a silent one.
const tries = 2

// Client asks discovery. Each call that the module makes ends in exactly one report, a list or a failure; a
// watch then goes on to report changes until it is lost.
type Client struct {
	Loop       *evloop.Loop
	Addr       string
	Generation int64 // of the latest list
	Named      bool  // some list has named somebody
	Heard      func(List, micafront.ListKind)
	Failed     func(error)
	Noted      func(error) // a watch fell silent and another has taken its place, which is no failure; nil: not told
	Times      Times       // zero: Usual
	Seed       uint64      // of the moments of this proxy's own; 0: from its process and the time

	watch   *call
	wanted  bool           // the module follows changes
	former  *call          // the watch at the address before, until the new one has spoken
	moved   bool           // nothing has been heard from the discovery that Move named
	fetches map[*call]bool // on their way

	second *call         // a watch that was begun beside a silent one
	tries  int           // how many of them were
	again  *evloop.Timer // when the next one is
	late   time.Duration // by what lines of watches have come late, and are waited for longer since
	chance *rand.Rand
}

// Watch asks for changes from now on, or cancels that. A watch that has spoken is begun anew; one that Move has
// just begun is the one asked for.
func (c *Client) Watch(on bool) {
	c.wanted = on
	if c.watch != nil && on && c.moved {
		return
	}
	c.forgetSecond()
	if c.watch != nil {
		c.watch.stop()
		c.watch = nil
	}
	if on {
		c.watch = c.begin()
	} else {
		c.forgetFormer()
	}
}

func (c *Client) begin() *call {
	return c.call("/registry/instances?watch=1&from="+strconv.FormatInt(c.Generation, 10), true)
}

// Fetch asks for the whole list once.
func (c *Client) Fetch() { c.fetch() }

func (c *Client) fetch() *call {
	if c.fetches == nil {
		c.fetches = map[*call]bool{}
	}
	k := c.call("/registry/instances", false)
	c.fetches[k] = true
	return k
}

// Move goes over to another discovery without a gap: the watch at the old address is still heard until the new
// one has spoken, since what discovery has written counts as told. How that one ends is no failure. Generations
// of two discoveries do not compare, so the new one is asked for everything. Back to one whose watch is still heard, that
// watch goes on: a call that came to nothing elsewhere costs discovery none.
func (c *Client) Move(addr string) {
	if addr == c.Addr {
		return
	}
	back := c.former
	if back != nil && back.addr != addr {
		back = nil
	}
	left := c.Generation
	c.Addr, c.Generation, c.moved = addr, 0, true
	c.forgetSecond()
	for _, k := range slices.Collect(maps.Keys(c.fetches)) {
		k.stop() // its answer is no longer of use; the new discovery gives the one report
		c.Fetch()
	}
	if back != nil {
		if c.watch != nil {
			c.watch.stop()
		}
		c.watch, c.former, c.Generation, c.moved = back, nil, back.left, back.left == 0
		back.alive()
		return
	}
	if w := c.watch; w != nil && w.spoken {
		c.forgetFormer()
		c.former, w.left = w, left
		c.Loop.Cancel(w.quiet)
	} else if w != nil {
		w.stop()
	}
	if c.watch = nil; c.wanted {
		c.watch = c.begin()
	}
}

// Reached tells that who answers at Addr has been heard since the last Move, so that what is told comes from there.
func (c *Client) Reached() bool { return !c.moved }

func (c *Client) forgetFormer() {
	if c.former != nil {
		c.former.stop()
		c.former = nil
	}
}

func (c *Client) forgetSecond() {
	c.Loop.Cancel(c.again)
	c.tries = 0
	if c.second != nil {
		c.second.stop()
		c.second = nil
	}
}

func (c *Client) times() Times {
	if c.Times == (Times{}) {
		return Usual
	}
	return c.Times
}

// moment is a time within a span that is this proxy's own.
func (c *Client) moment(span time.Duration) time.Duration {
	if c.chance == nil {
		seed := c.Seed
		if seed == 0 {
			seed = uint64(c.Loop.Now())
		}
		c.chance = rand.New(rand.NewPCG(seed, uint64(os.Getpid())))
	}
	return time.Duration(c.chance.Float64() * float64(span))
}

// askAnew begins a watch beside one that is silent, unless its bytes are only waiting to be read: timers come first where
// this process has been paused.
func (c *Client) askAnew() {
	c.again = c.Loop.After(0, func() {
		c.tries++
		second := c.begin()
		c.second = second
		c.Loop.After(c.times().Call/2, func() {
			if c.second == second && !second.up { // else what it asked is on its way, and waits for its turn there
				second.fail(silent.New("", "no connection in time"))
			}
		})
	})
}

type call struct {
	c      *Client
	count  int // of objects that came whole
	conn   *evloop.Conn
	parser *httpin.Parser
	stream stream
	got    *List // a fetch's
	watch  bool
	own    bool  // not the module's: what failed is asked for again by the next watch
	twice  bool  // a fetch that was begun anew
	up     bool  // the connection is
	spoken bool  // brought an object or an empty line
	after  error // how the watch ended whose place this one has taken, until it has spoken itself
	over   bool
	limit  *evloop.Timer
	quiet  *evloop.Timer // when a watch without a byte is asked for anew
	path   string
	addr   string
	left   int64 // generation of the latest list that came from there, of a watch that Move has left
}

func (c *Client) call(path string, watch bool) *call {
	k := &call{c: c, watch: watch, path: path, addr: c.Addr}
	k.parser = httpin.New(k.body)
	k.limit = c.Loop.After(c.times().Call, func() { k.fail(silent.New("", "no answer in time")) })
	conn, err := c.Loop.Dial(c.Addr, k)
	if err != nil {
		// Told in a turn of its own: the module's call has not returned yet.
		c.Loop.After(0, func() { k.fail(err) })
		return k
	}
	k.conn = conn
	return k
}

func (k *call) stop() {
	k.over = true
	delete(k.c.fetches, k)
	k.c.Loop.Cancel(k.limit)
	k.c.Loop.Cancel(k.quiet)
	if k.conn != nil {
		k.conn.Close()
	}
	k.stream.Close()
}

// fail ends a call that gave no list, or a watch.
func (k *call) fail(err error) {
	c := k.c
	if k.over {
		return
	}
	k.stop()
	switch {
	case c.former == k:
		c.former = nil
		return
	case c.second == k && c.tries < tries:
		c.second = nil
		c.again = c.Loop.After(c.times().Spread/8+c.moment(c.times().Spread/4), c.askAnew)
		return
	case c.second == k:
		old := c.watch
		old.stop()
		c.follow(old, fellSilent())
		c.watch = nil
	case !k.watch && !k.twice && silent.Of(err):
		again := c.fetch()
		again.twice, again.own = true, k.own
		return
	case c.watch == k && c.second != nil && (c.second.up || !silent.Of(err)) && !broken.Of(err):
		c.follow(k, err) // it has been asked already, and answers for both
		return
	case c.watch == k:
		c.forgetSecond()
		c.watch = nil
	}
	if k.own {
		c.Generation = 0
	}
	if err = k.told(err); k.after != nil {
		err = fmt.Errorf("%w, and asked anew: %w", k.after, err)
	}
	c.Failed(fmt.Errorf("discovery: %w", err))
}

// follow puts the second watch in the place of one that is over.
func (c *Client) follow(k *call, err error) {
	c.watch, c.second = c.second, nil
	c.watch.after = k.told(err)
	c.forgetSecond()
}

// told names the place of a fault.
func (k *call) told(err error) error {
	err = unreachable.Typed("", err)
	place := fmt.Sprintf("%s %s, object %d", k.c.Addr, k.path, k.count+1)
	if n := k.stream.Held(); n > 0 {
		place += fmt.Sprintf(", %d bytes of it", n)
	}
	return fmt.Errorf("%w (%s)", err, place)
}

func fellSilent() error { return silent.New("", "the watch fell silent") }

// Opened and the methods below are evloop's Handler.
func (k *call) Opened() {
	k.up = true
	k.conn.Write([]byte("GET " + k.path + " HTTP/1.1\r\nHost: " + k.c.Addr +
		"\r\nAccept: application/json\r\n\r\n"))
}

func (k *call) Data(b []byte) {
	if err := k.parser.Feed(b); err != nil {
		if !broken.Of(err) {
			err = foreign.Wrap("", err)
		}
		k.fail(err)
		return
	}
	if k.parser.Status() != 0 && k.parser.Status() != 200 {
		k.fail(refused.New("", "status %d", k.parser.Status()))
	} else if k.parser.Done() {
		k.Ended()
	}
}

func (k *call) Ended() {
	if k.over {
		return
	}
	if k.watch || k.parser.Status() != 200 || !k.parser.Done() && !k.parser.UntilEnd() {
		k.fail(ended.New("", "the answer ended"))
		return
	}
	l, found, err := k.stream.End()
	if err == nil && found {
		err = k.fetched(l)
	}
	switch {
	case err != nil:
	case k.got == nil:
		err = broken.New(mapPlace, "no object came")
	case k.c.watch != nil && k.got.Generation < k.c.Generation:
		err = overtaken.New("", "the list was overtaken by the watch") // it must not go back in time
	default:
		err = k.c.sane(*k.got, true)
	}
	if err != nil {
		k.fail(err)
		return
	}
	k.stop()
	k.c.take(*k.got, micafront.FullList)
}

func (k *call) Drained() {}

func (k *call) Closed(err error) { k.fail(err) }

// body takes the answer's bytes: a watch brings any number of objects, a fetch one in all.
func (k *call) body(b []byte) error {
	if k.over || k.parser.Status() != 200 {
		return nil
	}
	k.alive()
	return k.stream.Feed(b, k.spoke, func(l List) error {
		if !k.watch {
			return k.fetched(l)
		}
		k.spoke()
		kind := micafront.Changes
		if l.Reset {
			kind = micafront.FullList
		}
		err := k.heard(l, kind)
		if err == nil {
			k.count++
		}
		return err
	})
}

// fetched takes a fetch's object.
func (k *call) fetched(l List) error {
	if k.got != nil {
		return broken.New(mapPlace, "more than one object where one was asked for")
	}
	k.got = &l
	return nil
}

// alive takes any bytes of a watch: a second one, begun or about to be for want of them, is not needed.
func (k *call) alive() {
	c := k.c
	if c.watch != k || !k.spoken {
		return
	}
	if c.tries > 0 {
		c.late = min(c.late+c.times().Spread/4, c.times().Spread)
	}
	c.forgetSecond()
	c.Loop.Cancel(k.quiet)
	k.quiet = c.Loop.After(c.times().Ask+c.late+c.moment(c.times().Spread), c.askAnew)
}

// spoke takes blanks or an object of a watch. An object that does not end within Silence is as good as none.
func (k *call) spoke() {
	c := k.c
	if !k.watch {
		return
	}
	k.spoken = true
	if c.second == k {
		old := c.watch
		old.stop()
		c.follow(old, fellSilent())
	}
	if c.watch == k && k.after != nil {
		if c.Noted != nil {
			c.Noted(fmt.Errorf("discovery: %w; another one has taken its place", k.after))
		}
		k.after = nil
	}
	k.alive()
	c.Loop.Cancel(k.limit)
	k.limit = c.Loop.After(c.times().Silence, func() {
		k.limit = c.Loop.After(0, func() { k.fail(fellSilent()) }) // a turn later: see askAnew
	})
}

// sane refuses a list that would send everybody away: one that names nobody where somebody was named before.
func (c *Client) sane(l List, whole bool) error {
	if whole && len(l.Instances) == 0 && c.Named {
		return broken.New(mapPlace, "the whole list names nobody, the one in force goes on")
	}
	return nil
}

func (c *Client) take(l List, kind micafront.ListKind) {
	c.Generation, c.Named = l.Generation, c.Named || len(l.Instances) > 0
	c.Heard(l, kind)
}

// heard passes on a watch's object. One that goes back in generation is not taken, since it would bring back next hops
// that have left; discovery is then asked for everything, so that one that has begun to count anew is followed too.
func (k *call) heard(l List, kind micafront.ListKind) error {
	c := k.c
	if err := c.sane(l, kind == micafront.FullList); err != nil {
		return err
	}
	if k == c.former {
		k.left = l.Generation
		c.Heard(l, kind)
		return nil
	}
	if l.Generation < c.Generation {
		held := c.Generation
		c.Generation = 0
		return broken.New(mapPlace, "generation %d after %d", l.Generation, held)
	}
	if c.moved {
		c.moved = false
		c.forgetFormer()
		if kind == micafront.Changes {
			// Next hops that only the old discovery listed are not among another one's changes.
			c.fetch().own = true
		}
	}
	c.take(l, kind)
	return nil
}
