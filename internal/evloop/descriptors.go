package evloop

import (
	"errors"
	"os"

	"golang.org/x/sys/unix"
)

// maxDescriptorsPerRead bounds how many descriptors one read can receive.
const maxDescriptorsPerRead = 8

// descriptorBytes is the size of one descriptor in a control message.
const descriptorBytes = 4

// ControlMessageBytes returns the size in bytes of a control message (SCM_RIGHTS) that carries this number of descriptors.
func ControlMessageBytes(descriptors int) int { return unix.CmsgSpace(descriptors * descriptorBytes) }

// WriteWithDescriptors sends data, which must not be empty, over a Unix socket, with copies of the descriptors attached to its
// first byte. It returns an error and sends nothing if the connection is closed, earlier output is pending or the kernel accepts
// no data at present.
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

// AcceptDescriptors makes the connection receive descriptors that are attached to data. TakeDescriptors returns them.
func (c *Conn) AcceptDescriptors() { c.acceptsDescriptors = true }

// TakeDescriptors removes and returns the oldest count received descriptors, or returns nil if there are fewer. The descriptors
// of a message are received with its first byte.
func (c *Conn) TakeDescriptors(count int) (descriptors []int) {
	if len(c.descriptors) >= count {
		descriptors, c.descriptors = c.descriptors[:count:count], c.descriptors[count:]
	}
	return descriptors
}

// receive reads bytes, and also descriptors after AcceptDescriptors.
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

// ParseDescriptors returns the descriptors in a control message (SCM_RIGHTS), or none if the message is malformed.
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
