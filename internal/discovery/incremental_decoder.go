package discovery

import (
	"bytes"
	stdjson "encoding/json"
	"errors"
	"iter"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/httpresponse"
)

// errAbandoned ends the coroutine of a decoder that is stopped before its object is complete. It is never returned to callers.
var errAbandoned = errors.New("the decoder was stopped before the end of the object")

// incrementalDecoder decodes one object as its bytes arrive. The decoder of encoding/json pulls bytes and Feed pushes them, so the
// decoder runs as a coroutine that pauses when it needs bytes that have not arrived. The coroutine ends with the object, with an
// error, or by stop.
type incrementalDecoder struct {
	object    stdjson.RawMessage // set once it is complete
	bytesRead int                // bytes that the decoder has read

	unread   []byte // part of the current piece that the decoder has not read
	trailing int    // bytes after the object that the decoder has read
	err      error  // error of the decoder, set when the coroutine ends
	resume   func() (struct{}, bool)
	stop     func()
	yield    func(struct{}) bool // pauses the coroutine; false once stop was called
}

// newIncrementalDecoder returns a decoder for one object. Its coroutine starts with the first Feed.
func newIncrementalDecoder() *incrementalDecoder {
	d := &incrementalDecoder{}
	d.resume, d.stop = iter.Pull(func(yield func(struct{}) bool) {
		d.yield = yield
		decoder := stdjson.NewDecoder(d)
		d.err = decoder.Decode(&d.object)
		if buffered, ok := decoder.Buffered().(*bytes.Reader); ok {
			d.trailing = buffered.Len()
		}
	})
	return d
}

// Read implements io.Reader for the decoder of encoding/json. It pauses the coroutine until the next Feed if no byte is left.
func (d *incrementalDecoder) Read(p []byte) (int, error) {
	for len(d.unread) == 0 {
		if !d.yield(struct{}{}) {
			return 0, errAbandoned
		}
	}
	n := copy(p, d.unread)
	d.unread = d.unread[n:]
	d.bytesRead += n
	if d.bytesRead > httpresponse.DefaultMaxBodyBytes {
		return 0, httpresponse.ErrTooLong
	}
	return n, nil
}

// Feed passes the next piece to the decoder. It reports whether the object is whole, and returns the rest of the piece after it. Its
// errors match ErrInvalidList or httpresponse.ErrTooLong.
func (d *incrementalDecoder) Feed(data []byte) (rest []byte, whole bool, err error) {
	d.unread = data
	_, paused := d.resume()
	switch {
	case paused:
		return nil, false, nil
	case errors.Is(d.err, httpresponse.ErrTooLong):
		return nil, false, httpresponse.ErrTooLong
	case d.err != nil:
		return nil, false, invalidList.New(listPlace, "%s", oneLine(d.err))
	}
	return data[len(data)-len(d.unread)-d.trailing:], true, nil
}

// oneLine returns the text of an error without control characters, because errors of the JSON libraries quote the input and are
// logged.
func oneLine(err error) string { return apperror.OneLine(err.Error()) }
