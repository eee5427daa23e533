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
	// untilEvent is a wait without a limit.
	untilEvent time.Duration = -1
	// rateSlices is in how many writes a second's bytes of a Rate are divided.
	rateSlices = 50
	// The intervals at which awaitDelivery asks the kernel.
	deliveryCheckStep        = 50 * time.Microsecond
	maxDeliveryCheckInterval = 5 * time.Millisecond
	// swallowedFaultID is the id of the reset that follows a Blackhole; no fault that was set has it.
	swallowedFaultID = ^uint64(0)
)

// write forwards until the direction has ended.
func (p *pipe) write() {
	var dialed <-chan struct{} // nil once the destination is connected
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

// step does the next thing that the faults allow. It returns how long to wait before the next step, 0 for not at all and
// untilEvent for as long as nothing happens, and whether the direction has ended.
func (p *pipe) step(faults map[Kind]activeFault, connected bool) (wait time.Duration, ended bool) {
	forwarded := p.forwardedBytes.Load()
	if reset, ok := faults[Reset]; ok && forwarded >= reset.Offset {
		p.awaitDelivery()
		p.logFault(reset)
		p.conn.abort()
		return 0, true
	}
	head, hasHead := p.head()
	if p.conn.isReset() { // the head may be the error that the reset caused
		return 0, true
	}
	if mute, muted := faults[Blackhole]; muted {
		if !hasHead {
			return untilEvent, false
		}
		p.swallow(mute, head)
		return 0, false
	}
	if p.swallowed { // a restarted host does not know the connection
		p.logFault(activeFault{Fault: Fault{Kind: Reset}, id: swallowedFaultID})
		p.conn.abort()
		return 0, true
	}
	if !connected {
		return untilEvent, false
	}
	if halfEnd, ok := faults[HalfClose]; ok && !p.writeEnded && forwarded >= halfEnd.Offset {
		p.logFault(halfEnd)
		p.writeEnded = true
		_ = p.destination().CloseWrite() // it may be closed already
	}
	if !hasHead {
		return untilEvent, false
	}
	if wait := time.Until(head.due); wait > 0 && !head.due.IsZero() {
		return wait, false
	}
	if head.err != nil {
		p.end(head.err)
		return 0, true
	}
	if p.writeEnded { // the rest is discarded
		p.dequeue(len(head.data))
		return 0, false
	}
	return p.forward(faults, head.data), false
}

// swallow discards the head under a Blackhole.
func (p *pipe) swallow(mute activeFault, head chunk) {
	p.logFault(mute)
	p.swallowed = true
	p.dequeue(len(head.data))
}

// end passes on how the direction ended: by an end of the stream or by a reset.
func (p *pipe) end(err error) {
	if errors.Is(err, io.EOF) {
		if !p.writeEnded {
			_ = p.destination().CloseWrite() // it may be closed already
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
		data = data[:min(int64(len(data)), max(1, rate.BytesPerSecond/rateSlices))]
	}
	out := data
	if garble, ok := faults[Corrupt]; ok {
		out = p.garble(data, forwarded, uint64(garble.Every))
	}
	n, err := p.destination().Write(out)
	p.forwardedBytes.Add(int64(n))
	p.dequeue(n)
	if err != nil { // the peer learns of it by the opposite direction, with that one's faults
		p.writeEnded = true
		p.opposite.enqueue(chunk{err: err})
	}
	if limited {
		p.postponeNextSend(n, rate.BytesPerSecond)
	}
	return 0
}

// postponeNextSend accounts for n bytes that were sent under a rate.
func (p *pipe) postponeNextSend(n int, bytesPerSecond int64) {
	start := p.nextSendAt
	if now := time.Now(); start.Before(now) {
		start = now
	}
	seconds := float64(n) / float64(bytesPerSecond)
	p.nextSendAt = start.Add(time.Duration(seconds * float64(time.Second)))
}

// garble returns the data with one byte in every changed on average, chosen by its offset alone.
func (p *pipe) garble(data []byte, offset int64, every uint64) []byte {
	out := bytes.Clone(data)
	for i := range out {
		random := p.random(offset + int64(i))
		if random%every != 0 {
			continue
		}
		out[i] ^= byte(1 + (random>>32)%255)
		if p.loggedGarbles++; p.loggedGarbles <= MaxLoggedCorruptions {
			p.addLogEntry(offset+int64(i), Corrupt)
		}
	}
	return out
}

// destination is the connection that this direction is forwarded to.
func (p *pipe) destination() *net.TCPConn {
	if p.direction == Down {
		return p.conn.client
	}
	return p.conn.target
}

// awaitDelivery waits until the peer's kernel has acknowledged what was forwarded: a reset discards the rest.
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
			unacknowledged, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) // 0 where it fails: there is nothing to wait for
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
