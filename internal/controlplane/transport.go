package controlplane

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"example.org/micafront/internal/consensus"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
)

const (
	peerPath                  = "/v1/peer"
	maxQueuedMessages         = 1024      // to one peer; further messages are dropped, which raft tolerates
	maxQueuedBulkMessages     = 16        // large messages to one peer
	bulkThresholdBytes        = 256 << 10 // larger messages go through the bulk queue
	maxBatchMessages          = 64        // in one request
	maxBatchBytes             = 4 << 20   // of the messages in one request, unless it holds a single message
	maxPeerRequestBytes       = 512 << 20 // a snapshot of the whole state machine
	maxDiscardedResponseBytes = 64 << 10  // of a peer's response, read so that the connection can be reused

	sendTimeout    = time.Second
	minSendRate    = 4 << 20 // bytes per second that a peer has to accept
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 250 * time.Millisecond

	maxIdleConnsPerPeer = 64
	maxConnsPerPeer     = 256
	peerConnIdleTimeout = time.Minute
)

// frame is the body of a request from one replica to another, in CBOR.
type frame struct {
	From     uint64   `cbor:"1,keyasint"`
	To       uint64   `cbor:"2,keyasint"`
	Messages [][]byte `cbor:"3,keyasint"`
}

// transport sends raft messages and forwarded requests to peers.
type transport struct {
	self           uint64
	httpClient     *http.Client
	peers          map[uint64]*peer
	metrics        *metrics
	reportDelivery func(to uint64, snapshot, delivered bool) // may block until the event loop accepts the report or ends
	ctx            context.Context                           // ends with close
	cancel         context.CancelFunc
	workers        sync.WaitGroup
}

// peer is another replica.
type peer struct {
	id          uint64
	addr        atomic.Pointer[string]
	queue       chan consensus.Message
	bulk        chan consensus.Message // large messages, so that they do not delay heartbeats
	unreachable atomic.Bool            // the last request failed
}

// newTransport starts two workers for each peer, which run until close.
func newTransport(self uint64, peers map[uint64]string, metricSet *metrics, reportDelivery func(uint64, bool, bool)) *transport {
	t := &transport{self: self, peers: map[uint64]*peer{}, metrics: metricSet, reportDelivery: reportDelivery}
	t.httpClient = &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: sendTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerPeer,
		MaxConnsPerHost:     maxConnsPerPeer,
		IdleConnTimeout:     peerConnIdleTimeout,
		DisableCompression:  true,
	}}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	for id, addr := range peers {
		if id == self {
			continue
		}
		p := &peer{
			id:    id,
			queue: make(chan consensus.Message, maxQueuedMessages),
			bulk:  make(chan consensus.Message, maxQueuedBulkMessages),
		}
		p.addr.Store(&addr)
		t.peers[id] = p
		for _, queue := range []chan consensus.Message{p.queue, p.bulk} {
			t.workers.Go(func() { t.sendLoop(p, queue) })
		}
	}
	return t
}

// updateAddresses changes the addresses of the given peers.
func (t *transport) updateAddresses(peers map[uint64]string) {
	for id, p := range t.peers {
		if addr, ok := peers[id]; ok {
			p.addr.Store(&addr)
		}
	}
}

// send queues a message. It never blocks: if the queue is full, it drops the message.
func (t *transport) send(message consensus.Message) {
	p := t.peers[message.To]
	if p == nil {
		return
	}
	queue := p.queue
	if message.Snapshot || len(message.Bytes) > bulkThresholdBytes {
		queue = p.bulk
	}
	select {
	case queue <- message:
	default:
		t.metrics.addMessagesLost(message.To, 1)
		if message.Snapshot { // the caller is the event loop, which receives the report: a blocking call would deadlock
			t.workers.Go(func() { t.reportDelivery(message.To, true, false) })
		}
	}
}

// batch holds the messages of one request.
type batch struct {
	messages []consensus.Message
	size     int // of the messages, in bytes
	snapshot bool
}

// fits reports whether a batch that is not empty has room for another message.
func (b *batch) fits(message *consensus.Message) bool {
	return len(b.messages) < maxBatchMessages && b.size+len(message.Bytes) <= maxBatchBytes
}

func (b *batch) add(message consensus.Message) {
	b.messages = append(b.messages, message)
	b.size += len(message.Bytes)
	b.snapshot = b.snapshot || message.Snapshot
}

// sendLoop sends a peer's queued messages in batches. After a failure it drops the batch, because the messages are stale and
// raft repeats those that matter, and waits with an exponential backoff.
func (t *transport) sendLoop(p *peer, queue <-chan consensus.Message) {
	delays := newBackoff(initialBackoff, maxBackoff)
	var pending *consensus.Message // taken from the queue, but not in a batch yet
	for {
		if pending == nil {
			select {
			case message := <-queue:
				pending = &message
			case <-t.ctx.Done():
				return
			}
		}
		var next batch
		next, pending = collectBatch(*pending, queue)
		err := t.sendBatch(p, next)
		if next.snapshot || err != nil {
			t.reportDelivery(p.id, next.snapshot, err == nil)
		}
		p.unreachable.Store(err != nil)
		if err == nil {
			delays.Reset()
			continue
		}
		t.metrics.addMessagesLost(p.id, len(next.messages))
		select {
		case <-time.After(delays.NextBackOff()):
		case <-t.ctx.Done():
			return
		}
	}
}

// collectBatch returns a batch of the first message and the queued messages that fit. If it takes a message from the queue
// that does not fit, it returns that message too; otherwise nil.
func collectBatch(first consensus.Message, queue <-chan consensus.Message) (batch, *consensus.Message) {
	var collected batch
	collected.add(first)
	for {
		select {
		case message := <-queue:
			if !collected.fits(&message) {
				return collected, &message
			}
			collected.add(message)
		default:
			return collected, nil
		}
	}
}

// sendBatch sends a batch in one request. An error means that the peer may not have received it.
func (t *transport) sendBatch(p *peer, next batch) error {
	f := frame{From: t.self, To: p.id}
	for _, message := range next.messages {
		f.Messages = append(f.Messages, message.Bytes)
	}
	body, err := cbor.Marshal(f)
	if err != nil {
		return err
	}
	transferTime := time.Duration(next.size) * time.Second / minSendRate
	ctx, cancel := context.WithTimeout(t.ctx, sendTimeout+transferTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url(peerPath), bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/cbor")
	resp, err := t.httpClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardedResponseBytes)) // so that the connection can be reused
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("status %s", resp.Status)
	}
	return nil
}

// forward sends a request to a peer and returns the response, whose body the caller must close.
func (t *transport) forward(ctx context.Context, to uint64, method, path string, body []byte) (*http.Response, error) {
	p := t.peers[to]
	if p == nil {
		return nil, fmt.Errorf("replica %d is not a peer", to)
	}
	req, err := http.NewRequestWithContext(ctx, method, p.url(path), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(forwardedByHeader, strconv.FormatUint(t.self, 10))
	return t.httpClient.Do(req)
}

func (p *peer) url(path string) string { return "http://" + *p.addr.Load() + path }

// close stops the workers and waits for them. The event loop must have ended, since a worker may be blocked on a report to it.
func (t *transport) close() {
	t.cancel()
	t.workers.Wait()
	t.httpClient.CloseIdleConnections()
}

// handlePeerMessages passes the raft messages of another replica to the node.
func (r *Replica) handlePeerMessages(w http.ResponseWriter, _ *http.Request, body []byte) error {
	var f frame
	decoder := cbor.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(&f); err != nil {
		return consensus.BadMessage.Wrap("peer", err)
	}
	trailing := decoder.NumBytesRead() != len(body)
	fromPeer := r.transport.peers[f.From] != nil
	if trailing || f.To != r.config.ID || !fromPeer || len(f.Messages) > maxBatchMessages {
		return consensus.BadMessage.New("peer", "%d messages from replica %d to replica %d arrived at replica %d",
			len(f.Messages), f.From, f.To, r.config.ID)
	}
	step := func(loop *eventLoop) {
		for _, message := range f.Messages {
			err := loop.node.Step(message)
			if consensus.BadMessage.Matches(err) {
				r.metrics.countMessageRejected(f.From)
				r.log.Debug("micafront-controlplane: raft message rejected", zap.Uint64("from", f.From), zap.Error(err))
			}
			loop.recordFatal(err)
		}
	}
	select {
	case r.events <- step:
	case <-r.done:
		return Stopping.New("peer", "replica %d is stopping", r.config.ID)
	case <-time.After(sendTimeout):
		return overloadedError("peer")
	}
	w.WriteHeader(http.StatusNoContent)
	return nil
}
