package evloop

import (
	"errors"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2/pkg/socket"
	"golang.org/x/sys/unix"
)

// System contains the operating system's calls for stream sockets and its wall clock. Tests replace them to inject failures.
type System struct {
	Accept  func(fd int) (int, unix.Sockaddr, error)
	Socket  func(family int) (int, error)
	Connect func(fd int, addr unix.Sockaddr) error
	Read    func(fd int, buffer []byte) (int, error)
	Write   func(fd int, data []byte) (int, error)
	// WallClock may jump by seconds or hours at any time, so the loop's clock reads it only at the start.
	WallClock func() time.Time
}

// DefaultSystem is the System of new loops. It calls Linux, unless a test replaces it before it creates a loop.
var DefaultSystem = System{
	Accept: socket.Accept,
	Socket: func(family int) (int, error) {
		return unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, unix.IPPROTO_TCP)
	},
	Connect: unix.Connect,
	Read:    unix.Read,
	Write:   unix.Write,

	WallClock: time.Now,
}

// isTransientError reports whether a call on an established connection failed because the kernel was out of memory (ENOBUFS,
// ENOMEM) and may succeed soon.
func isTransientError(err error) bool {
	return errors.Is(err, unix.ENOBUFS) || errors.Is(err, unix.ENOMEM)
}

// isQueuedConnError reports whether accept failed because of the connection that it removed from the queue, or was interrupted.
// Linux returns pending network errors of that connection as errors of accept (accept(2)).
func isQueuedConnError(err error) bool {
	for _, errno := range []unix.Errno{
		unix.EINTR, unix.ECONNABORTED, unix.ECONNRESET, unix.ENETDOWN, unix.EPROTO, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET,
		unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ETIMEDOUT, unix.EPERM,
	} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// isLocalConnectError reports whether connect failed because of this host, for example because it has no free local ports. Such
// an error is no evidence that the peer is down.
func isLocalConnectError(err error) bool {
	for _, errno := range []unix.Errno{
		unix.EADDRNOTAVAIL, unix.EADDRINUSE, unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM, unix.EPERM, unix.EACCES,
	} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// isConnecting reports whether connect continues in the background after this error.
func isConnecting(err error) bool {
	return errors.Is(err, unix.EINPROGRESS) || errors.Is(err, unix.EINTR)
}

// isNumericAddr reports whether an address consists of a numeric host and a port.
func isNumericAddr(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	return err == nil && net.ParseIP(host) != nil
}
