package registry

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"example.org/micafront"
	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/httpin"
)

// An empty line comes every 2 s on a quiet watch, and what discovery has to tell counts as told after 6 s
// whether it came or not: two missed lines mean that the watch is lost.
const (
	callTime    = 2500 * time.Millisecond // until the first object
	silenceTime = 4500 * time.Millisecond // between lines of a watch
)

// Client asks discovery. Each call that the module makes ends in exactly one report, a list or a failure; a
// watch then goes on to report changes until it is lost.
type Client struct {
	Loop       *evloop.Loop
	Addr       string
	Generation int64 // of the latest list
	Named      bool  // some list has named somebody
	Heard      func(List, micafront.ListKind)
	Failed     func(error)

	watch   *call
	wanted  bool           // the module follows changes
	former  *call          // the watch at the address before, until the new one has spoken
	moved   bool           // nothing has been heard from the discovery that Move named
	fetches map[*call]bool // on their way
}

// Watch asks for changes from now on, or cancels that. A watch that has spoken is begun anew; one that Move has
// just begun is the one asked for.
func (c *Client) Watch(on bool) {
	c.wanted = on
	if c.watch != nil && on && c.moved {
		return
	}
	if c.watch != nil {
		c.watch.stop()
		c.watch = nil
	}
	if on {
		c.begin()
	} else {
		c.forgetFormer()
	}
}

func (c *Client) begin() {
	c.watch = c.call("/registry/instances?watch=1&from="+strconv.FormatInt(c.Generation, 10), true)
}

// Fetch asks for the whole list once.
func (c *Client) Fetch() {
	if c.fetches == nil {
		c.fetches = map[*call]bool{}
	}
	c.fetches[c.call("/registry/instances", false)] = true
}

// Move goes over to another discovery without a gap: the watch at the old address is still heard until the new
// one has spoken, since what discovery has written counts as told. How that one ends is no failure. Generations
// of two discoveries do not compare, so the new one is asked for everything.
func (c *Client) Move(addr string) {
	if addr == c.Addr {
		return
	}
	c.Addr, c.Generation, c.moved = addr, 0, true
	for _, k := range slices.Collect(maps.Keys(c.fetches)) {
		k.stop() // its answer is no longer of use; the new discovery gives the one report
		c.Fetch()
	}
	if w := c.watch; w != nil && w.spoken {
		c.forgetFormer()
		c.former = w
	} else if w != nil {
		w.stop()
	}
	if c.watch = nil; c.wanted {
		c.begin()
	}
}

func (c *Client) forgetFormer() {
	if c.former != nil {
		c.former.stop()
		c.former = nil
	}
}

type call struct {
	c      *Client
	count  int // of objects that came whole
	conn   *evloop.Conn
	parser *httpin.Parser
	line   []byte
	watch  bool
	spoken bool // brought a line
	over   bool
	limit  *evloop.Timer
	path   string
}

func (c *Client) call(path string, watch bool) *call {
	k := &call{c: c, watch: watch, path: path}
	k.parser = httpin.New(k.body)
	k.limit = c.Loop.After(callTime, func() { k.fail(errors.New("no answer in time")) })
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
	if k.conn != nil {
		k.conn.Close()
	}
}

func (k *call) fail(err error) {
	if k.over {
		return
	}
	k.stop()
	if k.c.former == k {
		k.c.former = nil
		return
	}
	if k.c.watch == k {
		k.c.watch = nil
	}
	place := fmt.Sprintf("%s %s, object %d", k.c.Addr, k.path, k.count+1)
	if n := len(k.line); n > 0 && !errors.Is(err, ErrBroken) { // else the object was whole, and these are the next one's
		place += fmt.Sprintf(", %d bytes of it", n)
	}
	k.c.Failed(fmt.Errorf("discovery: %w (%s)", err, place))
}

// Opened and the methods below are evloop's Handler.
func (k *call) Opened() {
	k.conn.Write([]byte("GET " + k.path + " HTTP/1.1\r\nHost: " + k.c.Addr +
		"\r\nAccept: application/json\r\n\r\n"))
}

func (k *call) Data(b []byte) {
	if err := k.parser.Feed(b); err != nil {
		k.fail(err)
		return
	}
	if k.parser.Status() != 0 && k.parser.Status() != 200 {
		k.fail(fmt.Errorf("status %d", k.parser.Status()))
	} else if k.parser.Done() {
		k.Ended()
	}
}

func (k *call) Ended() {
	if k.over {
		return
	}
	if !k.watch && k.parser.Status() == 200 && (k.parser.Done() || k.parser.UntilEnd()) {
		l, err := ParseList(k.line)
		if err == nil {
			err = k.c.sane(l, true)
		}
		k.line = nil // the object was whole
		if err != nil {
			k.fail(err)
		} else if k.c.watch != nil && l.Generation < k.c.Generation {
			k.fail(errors.New("the list was overtaken by the watch")) // it must not go back in time
		} else {
			k.stop()
			k.c.take(l, micafront.FullList)
		}
		return
	}
	k.fail(errors.New("the answer ended"))
}

func (k *call) Drained() {}

func (k *call) Closed(err error) { k.fail(err) }

// body takes the answer's bytes. A watch brings an object a line, a fetch one object in all.
func (k *call) body(b []byte) error {
	if k.over || k.parser.Status() != 200 {
		return nil
	}
	k.line = append(k.line, b...)
	if len(k.line) > httpin.MaxBody {
		return httpin.ErrTooLong
	}
	if !k.watch {
		return nil
	}
	for !k.over {
		i := bytes.IndexByte(k.line, '\n')
		if i < 0 {
			break
		}
		text := bytes.TrimSpace(k.line[:i])
		k.line, k.spoken = k.line[i+1:], true
		k.c.Loop.Cancel(k.limit)
		k.limit = k.c.Loop.After(silenceTime, func() { k.fail(errors.New("the watch fell silent")) })
		if len(text) == 0 {
			continue
		}
		l, err := ParseList(text)
		if err != nil {
			return err
		}
		kind := micafront.Changes
		if l.Reset {
			kind = micafront.FullList
		}
		if err := k.heard(l, kind); err != nil {
			return err
		}
		k.count++
	}
	if len(k.line) == 0 {
		k.line = nil
	}
	return nil
}

// sane refuses a list that would send everybody away: one that names nobody where somebody was named before.
func (c *Client) sane(l List, whole bool) error {
	if whole && len(l.Instances) == 0 && c.Named {
		return fmt.Errorf("%w: the whole list names nobody, the one in force goes on", ErrBroken)
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
		c.Heard(l, kind)
		return nil
	}
	if l.Generation < c.Generation {
		held := c.Generation
		c.Generation = 0
		return fmt.Errorf("%w: generation %d after %d", ErrBroken, l.Generation, held)
	}
	if c.moved {
		c.moved = false
		c.forgetFormer()
		if kind == micafront.Changes {
			// Next hops that only the old discovery listed are not among another one's changes.
			c.Fetch()
		}
	}
	c.take(l, kind)
	return nil
}
