package discovery

import (
	"bytes"
	stdjson "encoding/json"
	"errors"
	"iter"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/httpresponse"
)

// errAbandoned ends the coroutine of a decoder that is stopped before its object is whole. Nobody sees it.
var errAbandoned = errors.New("the object is not read on")

// incrementalDecoder decodes one object while its bytes come. The library's decoder pulls bytes and Feed pushes them, so the
// decoder runs as a coroutine that pauses whenever it needs bytes that have not come. The coroutine ends with the object, with an
// error, or by stop.
type incrementalDecoder struct {
	object stdjson.RawMessage // once it is whole
	bytes  int                // that the decoder has read

	input    []byte // the part of the current piece that the decoder has not read yet
	trailing int    // bytes that the decoder has read and that follow the object
	err      error  // of the decoder, once it has ended
	resume   func() (struct{}, bool)
	stop     func()
	yield    func(struct{}) bool // the coroutine's: false once the object is abandoned
}

// newIncrementalDecoder makes the decoder of one object. Its coroutine starts with the first Feed.
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

// Read implements io.Reader for the library's decoder. It pauses the coroutine until the next Feed where no byte is left.
func (d *incrementalDecoder) Read(p []byte) (int, error) {
	for len(d.input) == 0 {
		if !d.yield(struct{}{}) {
			return 0, errAbandoned
		}
	}
	n := copy(p, d.input)
	d.input = d.input[n:]
	d.bytes += n
	if d.bytes > httpresponse.DefaultMaxBodyBytes {
		return 0, httpresponse.ErrTooLong
	}
	return n, nil
}

// Feed hands the decoder the next piece. whole says that the object is whole; rest is the part of the piece that follows it. Its
// errors are ErrInvalidList and httpresponse.ErrTooLong.
func (d *incrementalDecoder) Feed(data []byte) (rest []byte, whole bool, err error) {
	d.input = data
	_, paused := d.resume()
	switch {
	case paused:
		return nil, false, nil
	case errors.Is(d.err, httpresponse.ErrTooLong):
		return nil, false, httpresponse.ErrTooLong
	case d.err != nil:
		return nil, false, invalidList.New(listPlace, "%s", oneLine(d.err))
	}
	return data[len(data)-len(d.input)-d.trailing:], true, nil
}

// oneLine returns an error's text without control characters: the library's errors quote what it read, and are logged.
func oneLine(err error) string { return apperror.OneLine(err.Error()) }
