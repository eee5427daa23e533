package hotrestart

import (
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/testing/testkit"
	"golang.org/x/sys/unix"
)

// TestRequestFailures checks requests to peers that hand nothing over. The error must name the socket and its kind and, if no
// process listens, the cause. No received descriptor may stay open.
func TestRequestFailures(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(*net.UnixConn)
		kind   *apperror.Kind
		cause  error
	}{
		"no socket":      {nil, errUnanswered, os.ErrNotExist},
		"nobody listens": {func(*net.UnixConn) {}, errUnanswered, unix.ECONNREFUSED},
		"peer closes":    {func(c *net.UnixConn) { c.Close() }, errUnanswered, nil},
		"peer speaks HTTP": {func(c *net.UnixConn) {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n")) // a failed write yields another kind of error
			c.Close()
		}, errIncompatible, nil},
		"descriptor not listening": {func(c *net.UnixConn) {
			null, err := os.Open(os.DevNull)
			if err == nil {
				_, _, _ = c.WriteMsgUnix([]byte("{}\n"), unix.UnixRights(int(null.Fd())), nil)
				null.Close()
			}
			c.Close()
		}, errIncompatible, nil},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "s.sock")
			if c.answer != nil {
				l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
				if err != nil {
					t.Fatal(err)
				}
				l.SetUnlinkOnClose(false)
				if c.cause != nil {
					l.Close()
				}
				t.Cleanup(func() { l.Close() })
				go func() {
					if conn, err := l.AcceptUnix(); err == nil {
						c.answer(conn)
					}
				}()
			}
			h := &Handover{Link: -1}
			err := h.request(path)
			var typed *apperror.Error
			if !errors.As(err, &typed) || typed.Kind != c.kind || typed.Place != path || c.cause != nil && !errors.Is(err, c.cause) {
				t.Errorf("got error %v, want kind %s, place %s, cause %v", err, c.kind.Name, path, c.cause)
			}
			for _, fd := range append(h.Listeners, h.Link) {
				if _, err := unix.FcntlInt(uintptr(fd), unix.F_GETFD, 0); err == nil {
					t.Errorf("descriptor %d is still open", fd)
				}
			}
		})
	}
}

// TestListenWithoutDirectory checks the error of Listen for a directory that does not exist.
func TestListenWithoutDirectory(t *testing.T) {
	loop, err := evloop.New()
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "none", "s.sock")
	_, err = Listen(loop, path, nil)
	testkit.Equal(t, "error has its cause and resolution", []any{true, []string{errNotOffered.Resolution}}, []any{errors.Is(err, os.ErrNotExist), apperror.Resolutions(err)})
	var typed *apperror.Error
	if !errors.As(err, &typed) {
		t.Fatalf("untyped error %v", err)
	}
	testkit.Equal(t, "place", path, typed.Place)
}

// TestMessagesAfterStateStayInSocket sends the state in pieces, directly followed by the first heartbeats. Request must read the
// state up to its newline and leave the heartbeats for the reader of the link.
func TestMessagesAfterStateStayInSocket(t *testing.T) {
	const state, heartbeats = `{"Discovery":"127.0.0.1:1"}` + "\n", `{"open":1}` + "\n" + `{"open":2}` + "\n"
	for _, pieces := range [][]string{
		{state + heartbeats},
		{state[:5], state[5:] + heartbeats},
		{state, heartbeats},
		{state[:len(state)-1], "\n" + heartbeats[:4], heartbeats[4:]},
	} {
		path := filepath.Join(t.TempDir(), "s.sock")
		listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: path})
		if err != nil {
			t.Fatal(err)
		}
		served, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		file, err := served.(*net.TCPListener).File()
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := listener.AcceptUnix()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			for i, piece := range pieces {
				var rights []byte
				if i == 0 {
					rights = unix.UnixRights(int(file.Fd()))
				}
				_, _, _ = conn.WriteMsgUnix([]byte(piece), rights, nil)
			}
		}()
		handover, err := Request(path)
		if err != nil {
			t.Fatalf("%q: %v", pieces, err)
		}
		testkit.Equal(t, "state", state, string(handover.State))
		testkit.Equal(t, "listeners", 1, len(handover.Listeners))
		link := os.NewFile(uintptr(handover.Link), "link")
		rest, err := io.ReadAll(link)
		if err != nil {
			t.Fatal(err)
		}
		testkit.Equal(t, "data left for the link", heartbeats, string(rest))
		_ = link.Close()
		_ = unix.Close(handover.Listeners[0])
		_ = file.Close()
		_ = served.Close()
		_ = listener.Close()
	}
}
