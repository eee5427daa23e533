// Package hotrestart passes listening sockets and an opaque state from a running process to a new one over a Unix socket. The
// connection stays open for further messages. The new process calls Request, the running one Listen. Package proxy defines
// the state and the later messages.
//
// After any failure the new process can start without a handover and the running one continues. No descriptor is leaked, and
// every error names the socket and a resolution for the operator.
package hotrestart

import (
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"time"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/evloop"
	"golang.org/x/sys/unix"
)

const (
	// maxStateBytes bounds the state that a process accepts.
	maxStateBytes = 16 << 20
	// maxListeners is the largest number of listening sockets in a handover.
	maxListeners = 64
	// requestTimeout is how long the new process waits for the whole handover. The running process answers from its event loop
	// within milliseconds. If no answer arrives, the new process still has seconds left to start without a handover.
	requestTimeout = 2 * time.Second
	// maxSocketPath is the path length in bytes from which a socket is addressed via its directory. The kernel's limit is 108.
	maxSocketPath = 100

	readBufferBytes = 64 << 10
	listenBacklog   = 8
)

// Failures of a handover. In each case the new process starts without it and the running process continues.
var (
	errUnanswered   = apperror.NewKind("handover/unanswered", "see whether the old process still runs and is not stopped (SIGCONT), then end the new one and start it again; or let both run and send the old one SIGTERM")
	errOtherUser    = apperror.NewKind("handover/other-user", "run the old and the new process as one user, or give each a TMPDIR of its own")
	errIncompatible = apperror.NewKind("handover/unfit", "see that what listens at that socket is a micafront of a release that hands over; remove the socket if it is not")
	errNotOffered   = apperror.NewKind("handover/not-offered", "make TMPDIR a folder in which this user may make sockets; until then the process cannot be upgraded in place, only restarted")
)

// SocketPath returns the path of the handover socket in dir of the process that serves under name at addr, or "" if dir is "".
func SocketPath(dir, name, addr string) string {
	if dir == "" {
		return ""
	}
	h := fnv.New64a()
	fmt.Fprintf(h, "%s|%s", name, addr)
	return filepath.Join(dir, fmt.Sprintf("micafront-%016x.sock", h.Sum64()))
}

// socketAddr returns an address for the socket at path. For a path that is too long for an address it opens the directory and
// returns an address via that descriptor. The caller must call release after use, which closes the descriptor.
func socketAddr(path string) (addr *unix.SockaddrUnix, release func(), err error) {
	if len(path) < maxSocketPath {
		return &unix.SockaddrUnix{Name: path}, func() {}, nil
	}
	dir, err := unix.Open(filepath.Dir(path), unix.O_PATH|unix.O_DIRECTORY|unix.O_CLOEXEC, 0)
	if err != nil {
		return nil, nil, os.NewSyscallError("open", err)
	}
	name := fmt.Sprintf("/proc/self/fd/%d/%s", dir, filepath.Base(path))
	return &unix.SockaddrUnix{Name: name}, func() { _ = unix.Close(dir) }, nil
}

// SameUser reports whether the process at the other end of a Unix socket runs as this process's user.
func SameUser(fd int) bool {
	peer, err := unix.GetsockoptUcred(fd, unix.SOL_SOCKET, unix.SO_PEERCRED)
	return err == nil && int(peer.Uid) == os.Getuid()
}

// Handover holds the sockets and the state received from the running process. The caller owns its descriptors.
type Handover struct {
	Link      int    // the connected socket, for further messages between the processes
	Listeners []int  // the listening sockets, the main one first; at least one
	State     []byte // includes the terminating newline
}

// close closes all descriptors.
func (h *Handover) close() {
	_ = unix.Close(h.Link)
	for _, fd := range h.Listeners {
		_ = unix.Close(fd)
	}
}

// Request requests the listening sockets and the state of the process that listens at path. On an error nothing has been handed
// over and the caller starts without a handover. The error wraps its cause, such as os.ErrNotExist, for errors.Is.
func Request(path string) (*Handover, error) {
	h := &Handover{Link: -1}
	if err := h.request(path); err != nil {
		return nil, err
	}
	return h, nil
}

// request fills h. On an error it closes all received descriptors.
func (h *Handover) request(path string) error {
	deadline := time.Now().Add(requestTimeout)
	err := h.connect(path)
	if err == nil {
		err = h.receive(path, deadline)
	}
	if err == nil {
		err = h.checkListeners(path)
	}
	if err != nil {
		h.close()
		return errUnanswered.WrapUntyped(path, err)
	}
	return nil
}

func (h *Handover) connect(path string) error {
	addr, release, err := socketAddr(path)
	if err != nil {
		return err
	}
	defer release()
	h.Link, err = unix.Socket(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return os.NewSyscallError("socket", err)
	}
	timeout := unix.NsecToTimeval(int64(requestTimeout))
	_ = unix.SetsockoptTimeval(h.Link, unix.SOL_SOCKET, unix.SO_SNDTIMEO, &timeout)
	if err := unix.Connect(h.Link, addr); err != nil {
		return os.NewSyscallError("connect", err)
	}
	if !SameUser(h.Link) {
		return errOtherUser.New(path, "the socket belongs to another user")
	}
	return nil
}

// receive reads the state up to its newline, and the descriptors that accompany it. Later data, such as the heartbeat that the
// running process sends right away, stays in the socket for the link.
func (h *Handover) receive(path string, deadline time.Time) error {
	buf := make([]byte, readBufferBytes)
	control := make([]byte, evloop.ControlMessageBytes(maxListeners))
	for !bytes.HasSuffix(h.State, []byte("\n")) {
		remaining := time.Until(deadline)
		if remaining <= 0 {
			return errUnanswered.New(path, "timed out waiting for the handover")
		}
		if len(h.State) > maxStateBytes {
			return errUnanswered.New(path, "the state of the old process exceeds %d bytes", maxStateBytes)
		}
		timeout := unix.NsecToTimeval(int64(max(remaining, time.Millisecond)))
		_ = unix.SetsockoptTimeval(h.Link, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &timeout)
		peeked, _, err := unix.Recvfrom(h.Link, buf, unix.MSG_PEEK)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if err != nil {
			return os.NewSyscallError("recvfrom", err)
		}
		wanted := buf[:max(peeked, 1)]
		if end := bytes.IndexByte(wanted, '\n'); end >= 0 {
			wanted = wanted[:end+1]
		}
		n, controlBytes, _, _, err := unix.Recvmsg(h.Link, wanted, control, unix.MSG_CMSG_CLOEXEC)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if err != nil {
			return os.NewSyscallError("recvmsg", err)
		}
		if n == 0 {
			return errUnanswered.New(path, "the old process closed the connection")
		}
		h.Listeners = append(h.Listeners, evloop.ParseDescriptors(control[:controlBytes])...)
		h.State = append(h.State, buf[:n]...)
	}
	return nil
}

func (h *Handover) checkListeners(path string) error {
	for _, fd := range h.Listeners {
		listening, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
		if err != nil || listening != 1 {
			return errIncompatible.New(path, "a received descriptor is not a listening socket")
		}
	}
	if len(h.Listeners) == 0 {
		return errIncompatible.New(path, "no listening socket was received")
	}
	return nil
}

// Listen opens a socket at path for new processes and calls onAccept for each one that connects. It replaces a socket file left
// there by an earlier process.
func Listen(loop *evloop.Loop, path string, onAccept func(*evloop.Conn) evloop.Handler) (*evloop.Listener, error) {
	listener, err := listen(loop, path, onAccept)
	if err != nil {
		return nil, errNotOffered.Wrap(path, err)
	}
	return listener, nil
}

func listen(loop *evloop.Loop, path string, onAccept func(*evloop.Conn) evloop.Handler) (*evloop.Listener, error) {
	addr, release, err := socketAddr(path)
	if err != nil {
		return nil, err
	}
	defer release()
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	err = bindAndListen(fd, addr, path)
	if err != nil {
		_ = unix.Close(fd)
		return nil, err
	}
	ignoreAcceptErrors := func(error) {} // the new process then starts without a handover
	listener, err := loop.ListenFD(fd, onAccept, ignoreAcceptErrors)
	if err != nil {
		_ = unix.Close(fd)
		return nil, err
	}
	return listener, nil
}

func bindAndListen(fd int, addr *unix.SockaddrUnix, path string) error {
	if err := unix.Bind(fd, addr); err != nil {
		return os.NewSyscallError("bind", err)
	}
	_ = os.Chmod(path, 0o600) // on an error SameUser still rejects other users
	return os.NewSyscallError("listen", unix.Listen(fd, listenBacklog))
}
