package discovery

import (
	"fmt"

	"example.org/micafront/internal/apperror"
)

// CallError describes why a call ended and at which position of its response. The errors passed to OnFailure and OnNotice wrap a
// CallError.
type CallError struct {
	Addr         string // address of the called server
	Path         string // path of the request, with its query
	Object       int    // number of the object in which the call ended; the first object of a call is 1
	PendingBytes int    // received bytes of that object
	Err          *apperror.Error
	Replaced     *CallError // error of the watch that this call replaced; nil: it replaced none
}

// Error returns the fault followed by the call, the object and its received bytes in parentheses.
func (e *CallError) Error() string {
	place := fmt.Sprintf("%s %s, object %d", e.Addr, e.Path, e.Object)
	if e.PendingBytes > 0 {
		place += fmt.Sprintf(", %d bytes of it", e.PendingBytes)
	}
	text := fmt.Sprintf("%v (%s)", e.Err, place)
	if e.Replaced != nil {
		return fmt.Sprintf("%v; the watch that replaced it failed: %s", e.Replaced, text)
	}
	return text
}

// Unwrap returns the error of the replaced watch, if any, and the error of the call itself.
func (e *CallError) Unwrap() []error {
	if e.Replaced != nil {
		return []error{e.Replaced, e.Err}
	}
	return []error{e.Err}
}
