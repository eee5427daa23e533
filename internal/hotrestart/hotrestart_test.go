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

// TestRequestFailures has peers that hand nothing over. The error names the socket, its kind and, where nobody listens,
// the cause; no descriptor that came is left open.
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
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n")) // a failure shows as another kind of error
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
				t.Errorf("%v", err)
			}
			for _, fd := range append(h.Listeners, h.Link) {
				if _, err := unix.FcntlInt(uintptr(fd), unix.F_GETFD, 0); err == nil {
					t.Errorf("descriptor %d is left open", fd)
				}
			}
		})
	}
}

// TestListenWithoutDirectory pins the error for a directory in which no socket can be made.
func TestListenWithoutDirectory(t *testing.T) {
	loop, err := evloop.New()
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "none", "s.sock")
	_, err = Listen(loop, path, nil)
	testkit.Equal(t, "refused with its remedy", []any{true, []string{errNotOffered.Resolution}}, []any{errors.Is(err, os.ErrNotExist), apperror.Resolutions(err)})
	var typed *apperror.Error
	if !errors.As(err, &typed) {
		t.Fatalf("untyped error %v", err)
	}
	testkit.Equal(t, "place", path, typed.Place)
}

// TestMessagesBehindTheStateStayInTheSocket sends the state in pieces, with the first heartbeats at once behind it: the state ends
// with its newline, and the heartbeats are left to whoever reads the link.
func TestMessagesBehindTheStateStayInTheSocket(t *testing.T) {
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
		testkit.Equal(t, "what the link reads", heartbeats, string(rest))
		_ = link.Close()
		_ = unix.Close(handover.Listeners[0])
		_ = file.Close()
		_ = served.Close()
		_ = listener.Close()
	}
}
