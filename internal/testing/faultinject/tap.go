package faultinject

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// controlMessageBytes is room for the control message of a timestamp.
const controlMessageBytes = 64

// tapReader returns a function that reads from source and passes what it read to observe, with the kernel's time of
// receipt. A connection to a target has no timestamps before the first call; where one is missing, the time is now.
func (p *pipe) tapReader(source *net.TCPConn, observe func(Segment)) func([]byte) (int, error) {
	raw, rawErr := source.SyscallConn()
	if rawErr == nil {
		rawErr = raw.Control(func(fd uintptr) { _ = setTimestamps(int(fd)) }) // without timestamps, the time is now
	}
	control := make([]byte, controlMessageBytes)
	return func(buf []byte) (n int, err error) {
		if rawErr != nil {
			return 0, rawErr
		}
		controlBytes := 0
		if readErr := raw.Read(func(fd uintptr) bool {
			n, controlBytes, _, _, err = unix.Recvmsg(int(fd), buf, control, 0)
			return !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
		}); readErr != nil {
			return 0, readErr
		}
		if n <= 0 {
			if err == nil {
				err = io.EOF
			}
			return 0, err
		}
		observe(Segment{
			Link:       p.conn.link.name,
			Connection: p.conn.number,
			Direction:  p.direction,
			Offset:     p.receivedBytes(),
			At:         receiptTime(control[:controlBytes]),
			Data:       buf[:n],
		})
		return n, nil
	}
}

// receiptTime returns the kernel's timestamp in control messages, as a time with this process's monotonic clock.
func receiptTime(control []byte) time.Time {
	now := time.Now()
	messages, _ := unix.ParseSocketControlMessage(control) // without a message the time is now
	for _, message := range messages {
		var timestamp unix.Timespec
		if message.Header.Type != unix.SCM_TIMESTAMPNS ||
			binary.Read(bytes.NewReader(message.Data), binary.NativeEndian, &timestamp) != nil {
			continue
		}
		// By the wall clock the timestamp lies this far back; a time beyond now would come from a clock that was set.
		sinceReceipt := max(0, now.Round(0).Sub(time.Unix(timestamp.Unix())))
		now = now.Add(-sinceReceipt)
	}
	return now
}
