package faultinject

import (
	"bytes"
	"errors"
	"io"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// waitForEvent means to wait until an event occurs, without a timeout.
	waitForEvent time.Duration = -1
	// rateWritesPerSecond is the number of writes among which a Rate divides the bytes of each second.
	rateWritesPerSecond = 50
	// The interval at which awaitDelivery polls the kernel grows by deliveryCheckStep up to maxDeliveryCheckInterval.
	deliveryCheckStep        = 50 * time.Microsecond
	maxDeliveryCheckInterval = 5 * time.Millisecond
	// blackholeResetID is the id under which the reset after a cleared Blackhole is logged. No fault that was set has this id.
	blackholeResetID = ^uint64(0)
)

// write forwards queued chunks until the direction has ended or the connection is reset.
func (p *pipe) write() {
	var dialed <-chan struct{} // nil when the destination is connected
	if p.direction == Up {
		dialed = p.conn.dialed
	}
	for {
		faults, changed := p.conn.link.activeFaults(p.conn.number, p.direction)
		wait, ended := p.step(faults, dialed == nil)
		if ended {
			return
		}
		if wait == 0 {
			continue
		}
		var timer *time.Timer
		var expired <-chan time.Time
		if wait > 0 {
			timer = time.NewTimer(wait)
			expired = timer.C
		}
		select {
		case <-dialed:
			dialed = nil
		case <-p.queued:
		case <-changed:
		case <-expired:
		case <-p.conn.done:
			return
		}
		if timer != nil {
			timer.Stop()
		}
	}
}

// step performs the next action that the faults allow. It returns how long to wait before the next step (0 for no wait,
// waitForEvent for no timeout), and whether the direction has ended.
func (p *pipe) step(faults map[Kind]activeFault, connected bool) (wait time.Duration, ended bool) {
	forwarded := p.forwardedBytes.Load()
	if reset, ok := faults[Reset]; ok && forwarded >= reset.Offset {
		p.awaitDelivery()
		p.logFault(reset)
		p.conn.abort()
		return 0, true
	}
	head, hasHead := p.head()
	if p.conn.isReset() { // the head may be the error that the reset itself caused
		return 0, true
	}
	if blackhole, blackholed := faults[Blackhole]; blackholed {
		if !hasHead {
			return waitForEvent, false
		}
		p.discard(blackhole, head)
		return 0, false
	}
	if p.discarded { // a restarted host would not recognize the connection
		p.logFault(activeFault{Fault: Fault{Kind: Reset}, id: blackholeResetID})
		p.conn.abort()
		return 0, true
	}
	if !connected {
		return waitForEvent, false
	}
	if halfClose, ok := faults[HalfClose]; ok && !p.writeEnded && forwarded >= halfClose.Offset {
		p.logFault(halfClose)
		p.writeEnded = true
		_ = p.destination().CloseWrite() // may already be closed
	}
	if !hasHead {
		return waitForEvent, false
	}
	if wait := time.Until(head.due); wait > 0 && !head.due.IsZero() {
		return wait, false
	}
	if head.err != nil {
		p.propagateEnd(head.err)
		return 0, true
	}
	if p.writeEnded { // after a HalfClose or a write error, the rest is discarded
		p.dequeue(len(head.data))
		return 0, false
	}
	return p.forward(faults, head.data), false
}

// discard drops the head of the queue because of a Blackhole.
func (p *pipe) discard(blackhole activeFault, head chunk) {
	p.logFault(blackhole)
	p.discarded = true
	p.dequeue(len(head.data))
}

// propagateEnd ends the direction at the destination as the source ended it: with a half-close after io.EOF, else a reset.
func (p *pipe) propagateEnd(err error) {
	if errors.Is(err, io.EOF) {
		if !p.writeEnded {
			_ = p.destination().CloseWrite() // may already be closed
		}
		return
	}
	p.awaitDelivery()
	p.conn.abort()
}

// forward writes as much of data as the faults allow, and returns how long to wait before the next step.
func (p *pipe) forward(faults map[Kind]activeFault, data []byte) time.Duration {
	forwarded := p.forwardedBytes.Load()
	for _, kind := range []Kind{Reset, HalfClose} {
		if f, ok := faults[kind]; ok {
			data = data[:min(int64(len(data)), f.Offset-forwarded)]
		}
	}
	if split, ok := faults[Split]; ok {
		p.logFault(split)
		data = data[:1]
	}
	rate, limited := faults[Rate]
	if limited {
		p.logFault(rate)
		if wait := time.Until(p.nextSendAt); wait > 0 {
			return wait
		}
		data = data[:min(int64(len(data)), max(1, rate.BytesPerSecond/rateWritesPerSecond))]
	}
	out := data
	if corruption, ok := faults[Corrupt]; ok {
		out = p.corrupt(data, forwarded, uint64(corruption.Every))
	}
	n, err := p.destination().Write(out)
	p.forwardedBytes.Add(int64(n))
	p.dequeue(n)
	if err != nil { // report the error to the sender through the opposite direction, whose faults apply
		p.writeEnded = true
		p.opposite.enqueue(chunk{err: err})
	}
	if limited {
		p.postponeNextSend(n, rate.BytesPerSecond)
	}
	return 0
}

// postponeNextSend sets the time of the next write after n bytes were sent under a Rate.
func (p *pipe) postponeNextSend(n int, bytesPerSecond int64) {
	start := p.nextSendAt
	if now := time.Now(); start.Before(now) {
		start = now
	}
	seconds := float64(n) / float64(bytesPerSecond)
	p.nextSendAt = start.Add(time.Duration(seconds * float64(time.Second)))
}

// corrupt returns a copy of the data in which on average one byte in every `every` bytes is changed. The seed of
// the pipe and the offset of a byte alone determine whether and how it changes.
func (p *pipe) corrupt(data []byte, offset int64, every uint64) []byte {
	out := bytes.Clone(data)
	for i := range out {
		random := p.randomAt(offset + int64(i))
		if random%every != 0 {
			continue
		}
		out[i] ^= byte(1 + (random>>32)%255)
		if p.corruptions++; p.corruptions <= MaxLoggedCorruptions {
			p.addLogEntry(offset+int64(i), Corrupt)
		}
	}
	return out
}

// destination returns the connection that this direction is forwarded to.
func (p *pipe) destination() *net.TCPConn {
	if p.direction == Down {
		return p.conn.client
	}
	return p.conn.target
}

// awaitDelivery waits until the peer's kernel has acknowledged all forwarded bytes, because a reset discards unacknowledged
// ones.
func (p *pipe) awaitDelivery() {
	if p.direction == Up {
		select {
		case <-p.conn.dialed:
		default:
			return
		}
	}
	raw, err := p.destination().SyscallConn()
	if err != nil {
		return
	}
	for checks := 1; ; checks++ {
		unacknowledged := 0
		err := raw.Control(func(fd uintptr) {
			unacknowledged, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) // on failure it stays 0, which ends the wait
		})
		if err != nil || unacknowledged == 0 {
			return
		}
		select {
		case <-time.After(min(time.Duration(checks)*deliveryCheckStep, maxDeliveryCheckInterval)):
		case <-p.conn.done:
			return
		}
	}
}
