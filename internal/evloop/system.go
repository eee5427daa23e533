package evloop

import (
	"errors"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2/pkg/socket"
	"golang.org/x/sys/unix"
)

// System are the calls of the operating system on stream sockets that can fail in many ways. Tests replace them to cause each.
type System struct {
	Accept  func(fd int) (int, unix.Sockaddr, error)
	Socket  func(family int) (int, error)
	Connect func(fd int, addr unix.Sockaddr) error
	Read    func(fd int, buffer []byte) (int, error)
	Write   func(fd int, data []byte) (int, error)
	// WallClock may be set by seconds or hours at any time. The loop reads it once, at its start.
	WallClock func() time.Time
}

// DefaultSystem is what new loops use: Linux itself, unless a test has replaced it before.
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

// isTransient reports whether a call on a socket that is up may succeed soon: the kernel had no memory for it (ENOBUFS, ENOMEM).
func isTransient(err error) bool {
	return errors.Is(err, unix.ENOBUFS) || errors.Is(err, unix.ENOMEM)
}

// isAcceptedError reports whether accept failed because of the connection that it took from the queue, which is gone then: Linux
// passes on what the network has reported for it (accept(2)).
func isAcceptedError(err error) bool {
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

// isLocalConnectError reports whether connect failed for a lack of resources on this host, such as local ports, which says nothing
// of the peer.
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

// isConnecting reports whether connect goes on by itself.
func isConnecting(err error) bool {
	return errors.Is(err, unix.EINPROGRESS) || errors.Is(err, unix.EINTR)
}

// isNumericAddr reports whether an address has a numeric host and a port.
func isNumericAddr(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	return err == nil && net.ParseIP(host) != nil
}
