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

// controlMessageBytes is the size of the buffer for a timestamp's control message.
const controlMessageBytes = 64

// tapReader returns a read function for source that passes the bytes to observe with the kernel's receive timestamp. Bytes
// without a timestamp get the current time, such as those that a target sent before tapReader enabled timestamps.
func (p *pipe) tapReader(source *net.TCPConn, observe func(Segment)) func([]byte) (int, error) {
	raw, rawErr := source.SyscallConn()
	if rawErr == nil {
		rawErr = raw.Control(func(fd uintptr) { _ = setTimestamps(int(fd)) }) // on failure, receiptTime falls back to the current time
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

// receiptTime returns the kernel's receive timestamp from control messages, with a monotonic clock reading.
func receiptTime(control []byte) time.Time {
	now := time.Now()
	messages, _ := unix.ParseSocketControlMessage(control) // without a timestamp, the current time is returned
	for _, message := range messages {
		var timestamp unix.Timespec
		if message.Header.Type != unix.SCM_TIMESTAMPNS ||
			binary.Read(bytes.NewReader(message.Data), binary.NativeEndian, &timestamp) != nil {
			continue
		}
		// The timestamp is wall clock time. If the clock was set back since, the timestamp lies in the future; use now then.
		sinceReceipt := max(0, now.Round(0).Sub(time.Unix(timestamp.Unix())))
		now = now.Add(-sinceReceipt)
	}
	return now
}
