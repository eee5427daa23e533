package controlplane

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"example.org/micafront/internal/endpointlist"
)

const (
	endpointListPath  = "/registry/instances"
	maxWatches        = 4096
	keepAliveInterval = 2 * time.Second // between empty lines on an idle watch
	watchWriteTimeout = 4 * time.Second // maximum duration of one write to a watcher
	// discoveryCheckInterval is how often a watch checks whether contact with service discovery is lost.
	discoveryCheckInterval = 500 * time.Millisecond
)

// listSnapshot is an immutable snapshot of the endpoint list, from which the watches read.
type listSnapshot struct {
	list *endpointlist.State // nil: this replica serves no list
	term uint64              // the leader's term in which the list is served
	// baseNumber is the number of the committed list at the start of the term. A watcher that has this list or an older one
	// may have received early entries that were never committed, so it is sent the full list.
	baseNumber  uint64
	earlyUpdate endpointlist.Update // entries that are published before they are committed
	earlyCount  uint64              // number of additions to earlyUpdate
	superseded  chan struct{}       // closed when a later snapshot is published
	fullText    func() []byte       // the full list, encoded on first use
}

// updatesSince returns the changes after the list with the given number. It returns the full list if full is set or the
// changes are no longer retained.
func (s *listSnapshot) updatesSince(number uint64, full bool) []endpointlist.Update {
	if full {
		return []endpointlist.Update{s.list.FullUpdate()}
	}
	return s.list.UpdatesSince(number)
}

// encodeUpdate encodes an update as one line of a watch.
func encodeUpdate(update endpointlist.Update) []byte {
	if update.Instances == nil {
		update.Instances = []json.RawMessage{}
	}
	text, err := json.Marshal(update)
	if err != nil { // a defect: the entries were decoded when they were received
		return nil
	}
	return append(text, '\n')
}

// listUnavailable returns an error if this replica has no endpoint list to serve from the snapshot.
func (r *Replica) listUnavailable(snapshot *listSnapshot) error {
	leader := r.leader.Load()
	switch {
	case snapshot.list != nil && snapshot.list.Number() > 0 && r.discovery.timedOut():
		return EndpointListUnavailable.New(r.place(), "no contact with service discovery for %v",
			r.discovery.sinceContact().Round(time.Millisecond))
	case snapshot.list != nil && snapshot.list.Number() > 0:
		return nil
	case snapshot.list != nil || leader == r.config.ID:
		return EndpointListUnavailable.New(r.place(), "no endpoint list is committed yet, or no service discovery is configured")
	}
	return r.notLeadingError(leader)
}

// handleEndpointList answers a request for the endpoint list, or for a watch of it, in service discovery's protocol.
func (r *Replica) handleEndpointList(w http.ResponseWriter, req *http.Request, _ []byte) error {
	snapshot := r.discovery.snapshot.Load()
	if err := r.listUnavailable(snapshot); err != nil {
		return err
	}
	if req.URL.Query().Get("watch") != "1" {
		response{status: http.StatusOK, body: snapshot.fullText()}.write(w)
		return nil
	}
	from, err := strconv.ParseUint(req.URL.Query().Get("from"), 10, 64)
	if err != nil {
		return BadRequest.New("from", "%.40q is not the number of a list", req.URL.Query().Get("from"))
	}
	r.discovery.openWatches.Add(1)
	defer r.discovery.openWatches.Add(-1)
	r.streamEndpointList(w, req, snapshot, from)
	return nil
}

// streamEndpointList sends the list and its changes until the watcher disconnects or does not read in time, this replica
// stops serving the list, or contact with service discovery is lost. It stores the watcher's position instead of a queue,
// so a slow watcher uses no extra memory.
func (r *Replica) streamEndpointList(w http.ResponseWriter, req *http.Request, snapshot *listSnapshot, from uint64) {
	stream := &watchStream{
		replica:      r,
		w:            w,
		response:     http.NewResponseController(w),
		req:          req,
		keepAlive:    time.NewTicker(keepAliveInterval),
		contactCheck: time.NewTicker(discoveryCheckInterval),
		sentNumber:   from,
	}
	defer stream.keepAlive.Stop()
	defer stream.contactCheck.Stop()
	_ = stream.response.SetReadDeadline(time.Time{}) // a watcher sends nothing after its request
	w.Header().Set("Content-Type", "application/json")
	term := snapshot.term
	for first := true; snapshot.list != nil && snapshot.term == term; first = false {
		if !stream.send(stream.next(snapshot, first)) || !stream.waitSuperseded(snapshot) {
			return
		}
		snapshot = r.discovery.snapshot.Load()
	}
}

// watchStream is a watch of the endpoint list.
type watchStream struct {
	replica      *Replica
	w            http.ResponseWriter
	response     *http.ResponseController
	req          *http.Request
	keepAlive    *time.Ticker
	contactCheck *time.Ticker // of the contact with service discovery

	sentNumber     uint64 // number of the list that the watcher has
	sentEarlyCount uint64 // earlyCount of the last snapshot that was sent
}

// next encodes what the watcher has not received of a snapshot yet; nil: it has received all of it.
func (s *watchStream) next(snapshot *listSnapshot, first bool) []byte {
	var text []byte
	needsFull := first && s.sentNumber <= snapshot.baseNumber
	switch {
	case needsFull || s.sentNumber != snapshot.list.Number():
		for _, update := range snapshot.updatesSince(s.sentNumber, needsFull) {
			if update.Reset {
				text = append(text, snapshot.fullText()...)
				s.sentEarlyCount = 0
			} else {
				text = append(text, encodeUpdate(update)...)
			}
		}
	case first: // the watcher is up to date: an update without entries confirms it
		text = encodeUpdate(endpointlist.Update{Generation: s.sentNumber})
	}
	s.sentNumber = snapshot.list.Number()
	if s.sentEarlyCount < snapshot.earlyCount && len(snapshot.earlyUpdate.Instances) > 0 {
		text = append(text, encodeUpdate(snapshot.earlyUpdate)...)
	}
	s.sentEarlyCount = snapshot.earlyCount
	return text
}

// send writes a text unless it is nil. It reports false if the watcher disconnected or did not read in time.
func (s *watchStream) send(text []byte) bool {
	if text == nil {
		return true
	}
	_ = s.response.SetWriteDeadline(time.Now().Add(watchWriteTimeout)) // supported by net/http's server
	if _, err := s.w.Write(text); err != nil || s.response.Flush() != nil {
		return false
	}
	s.keepAlive.Reset(keepAliveInterval)
	return true
}

// waitSuperseded sends keep-alives until a later snapshot is published. It reports false if the watch must end.
func (s *watchStream) waitSuperseded(snapshot *listSnapshot) bool {
	for {
		select {
		case <-snapshot.superseded:
			return true
		case <-s.keepAlive.C:
			if !s.send([]byte("\n")) {
				return false
			}
		case <-s.contactCheck.C:
			if s.replica.discovery.timedOut() {
				return false
			}
		case <-s.req.Context().Done():
			return false
		case <-s.replica.done:
			return false
		}
	}
}
