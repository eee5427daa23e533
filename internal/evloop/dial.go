package evloop

import (
	"errors"
	"fmt"
	"os"

	"github.com/panjf2000/gnet/v2/pkg/socket"
	"golang.org/x/sys/unix"
)

// remoteConnectError is an error of connect that was caused by the peer or the network, not by this host.
type remoteConnectError struct{ error }

// Unwrap returns the error of connect.
func (e remoteConnectError) Unwrap() error { return e.error }

// IsRemoteConnectError reports whether Dial failed because of the peer or the network, as opposed to a lack of resources on
// this host, such as descriptors.
func IsRemoteConnectError(err error) bool {
	var remoteErr remoteConnectError
	return errors.As(err, &remoteErr)
}

// Dial starts to connect to a TCP address and does not block. The handler's Opened or Closed is called later. After an error, such
// as a lack of descriptors, no connection exists and the handler is not called. The address must be a numeric host and a port,
// because resolving a name would block the loop.
func (l *Loop) Dial(addr string, handler Handler) (*Conn, error) {
	if !isNumericAddr(addr) {
		return nil, fmt.Errorf("dial %q: not a numeric address and port", addr)
	}
	sockaddr, family, _, _, err := socket.GetTCPSockAddr("tcp", addr)
	if err != nil {
		return nil, err
	}
	fd, err := l.system.Socket(family)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	if err := l.system.Connect(fd, sockaddr); err != nil && !isConnecting(err) {
		_ = unix.Close(fd)
		connectErr := os.NewSyscallError("connect", err)
		if isLocalConnectError(err) {
			return nil, connectErr
		}
		return nil, remoteConnectError{connectErr}
	}
	conn := &Conn{loop: l, fd: fd, handler: handler, dialing: true}
	if err := conn.register(); err != nil {
		_ = unix.Close(fd)
		return nil, err
	}
	return conn, nil
}

// Adopt adds a stream socket that is already connected to the loop. If it returns an error, it has closed the descriptor.
func (l *Loop) Adopt(fd int, handler Handler) (*Conn, error) {
	err := unix.SetNonblock(fd, true)
	conn := &Conn{loop: l, fd: fd, handler: handler, writable: true}
	if err == nil {
		err = conn.register()
	}
	if err != nil {
		_ = unix.Close(fd)
		return nil, err
	}
	return conn, nil
}
