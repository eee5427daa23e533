package faultinject

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// acceptRetryInterval is the wait after a failed accept, which is mostly caused by a lack of file descriptors.
const acceptRetryInterval = 5 * time.Millisecond

// setReusePort sets SO_REUSEPORT, which lets several sockets bind to one port.
func setReusePort(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }

// setTimestamps enables the kernel's receive timestamps.
func setTimestamps(fd int) error {
	return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
}

// listen opens the listener and starts to accept connections. SO_REUSEPORT lets the reserved socket bind to the same port.
// Accepted connections inherit the option for receive timestamps.
func (l *link) listen(addr string) error {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = errors.Join(setReusePort(int(fd)), setTimestamps(int(fd)))
		})
		return errors.Join(err, optionErr)
	}}
	listener, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return err
	}
	if l.port == 0 {
		l.port = listener.Addr().(*net.TCPAddr).Port
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return errors.Join(net.ErrClosed, listener.Close())
	}
	l.listener = listener
	l.owner.wg.Go(func() { l.acceptLoop(listener) })
	return nil
}

// stopListening closes the listener and reserves its port with a socket that is bound but does not listen, so that the
// kernel refuses connections.
func (l *link) stopListening() error {
	l.mu.Lock()
	listener := l.listener
	l.mu.Unlock()
	if listener == nil {
		return nil
	}
	fd, err := reservePort(l.port)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.reservedFD = fd
	l.listener = nil
	l.mu.Unlock()
	l.owner.addLogEntry(LogEntry{Link: l.name, Kind: Refuse})
	return listener.Close()
}

// reservePort returns the descriptor of a socket that is bound to a loopback port and does not listen.
func reservePort(port int) (int, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, err
	}
	err = setReusePort(fd)
	if err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}})
	}
	if err != nil {
		return 0, errors.Join(err, unix.Close(fd))
	}
	return fd, nil
}

// resumeListening opens the listener on the same port again if stopListening closed it.
func (l *link) resumeListening() error {
	l.mu.Lock()
	fd := l.reservedFD
	l.mu.Unlock()
	if fd == 0 {
		return nil
	}
	if err := l.listen(l.Addr()); err != nil {
		return err
	}
	l.releasePort()
	return nil
}

// releasePort closes the reserved socket, if any.
func (l *link) releasePort() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reservedFD != 0 {
		_ = unix.Close(l.reservedFD) // nothing was written to the socket
		l.reservedFD = 0
	}
}

// acceptLoop accepts connections until the listener is closed.
func (l *link) acceptLoop(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			select {
			case <-time.After(acceptRetryInterval):
			case <-l.owner.ctx.Done():
			}
			continue
		}
		l.addConn(c.(*net.TCPConn))
	}
}
