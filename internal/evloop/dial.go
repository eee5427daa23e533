package evloop

import (
	"errors"
	"fmt"
	"os"

	"github.com/panjf2000/gnet/v2/pkg/socket"
	"golang.org/x/sys/unix"
)

// refusedError is an error of connect, as opposed to a lack of resources in this process.
type refusedError struct{ error }

// Unwrap gives the error that connect returned.
func (e refusedError) Unwrap() error { return e.error }

// IsRemoteConnectError reports whether a failed Dial met the network's own refusal, not a lack of descriptors here.
func IsRemoteConnectError(err error) bool {
	var refused refusedError
	return errors.As(err, &refused)
}

// Dial starts a connection. It never blocks: the handler's Opened or Closed is called later. An error means that nothing was
// started, as where no descriptor is left. The address must be numeric: a name would make the loop wait for a resolver.
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
		failure := os.NewSyscallError("connect", err)
		if isLocalConnectError(err) {
			return nil, failure
		}
		return nil, refusedError{failure}
	}
	conn := &Conn{loop: l, fd: fd, handler: handler, dialing: true}
	if err := conn.register(); err != nil {
		_ = unix.Close(fd)
		return nil, err
	}
	return conn, nil
}

// Adopt serves a stream socket that is already connected. Where it fails the descriptor is closed.
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
