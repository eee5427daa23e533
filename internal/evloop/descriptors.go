package evloop

import (
	"errors"
	"os"

	"golang.org/x/sys/unix"
)

// maxDescriptorsPerRead bounds how many descriptors one read can receive.
const maxDescriptorsPerRead = 8

const descriptorBytes = 4 // of one descriptor in a control message

// ControlMessageBytes is the size of a control message (SCM_RIGHTS) with so many descriptors.
func ControlMessageBytes(descriptors int) int { return unix.CmsgSpace(descriptors * descriptorBytes) }

// WriteWithDescriptors sends data, which must not be empty, over a Unix socket, with copies of the descriptors at its first
// byte. It fails, and has sent nothing, where earlier output waits or the kernel takes nothing now.
func (c *Conn) WriteWithDescriptors(data []byte, descriptors ...int) error {
	switch {
	case c.closed:
		return errClosed
	case len(c.unsent) > 0:
		return errOutputPending
	}
	n, err := unix.SendmsgN(c.fd, data, unix.UnixRights(descriptors...), nil, unix.MSG_DONTWAIT)
	for errors.Is(err, unix.EINTR) {
		n, err = unix.SendmsgN(c.fd, data, unix.UnixRights(descriptors...), nil, unix.MSG_DONTWAIT)
	}
	if err != nil {
		return os.NewSyscallError("sendmsg", err)
	}
	c.Write(data[n:])
	return nil
}

// AcceptDescriptors makes the connection receive descriptors that come along with bytes.
func (c *Conn) AcceptDescriptors() { c.acceptsDescriptors = true }

// TakeDescriptors gives the first count descriptors that came and were not given out yet, nil where fewer did. Those of a
// message have come when its first byte has.
func (c *Conn) TakeDescriptors(count int) (descriptors []int) {
	if len(c.descriptors) >= count {
		descriptors, c.descriptors = c.descriptors[:count:count], c.descriptors[count:]
	}
	return descriptors
}

// receive reads bytes, and descriptors where they are accepted.
func (c *Conn) receive(buffer []byte) (int, error) {
	if !c.acceptsDescriptors {
		return c.loop.system.Read(c.fd, buffer)
	}
	control := make([]byte, ControlMessageBytes(maxDescriptorsPerRead))
	n, controlBytes, _, _, err := unix.Recvmsg(c.fd, buffer, control, unix.MSG_CMSG_CLOEXEC|unix.MSG_DONTWAIT)
	if controlBytes > 0 {
		c.descriptors = append(c.descriptors, ParseDescriptors(control[:controlBytes])...)
	}
	return n, err
}

// ParseDescriptors gives the descriptors in a control message (SCM_RIGHTS), none where it is malformed.
func ParseDescriptors(control []byte) (descriptors []int) {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return nil
	}
	for i := range messages {
		if fds, err := unix.ParseUnixRights(&messages[i]); err == nil {
			descriptors = append(descriptors, fds...)
		}
	}
	return descriptors
}
