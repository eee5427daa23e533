package proxy

import (
	"testing"

	"example.org/micafront/internal/evloop"
	"golang.org/x/sys/unix"
)

// TestAdoptDescriptorsFails checks that the other descriptor is closed when one of a transferred connection cannot be adopted.
func TestAdoptDescriptorsFails(t *testing.T) {
	loop, err := evloop.New()
	if err != nil {
		t.Fatal(err)
	}
	const invalid = -1
	for name, descriptors := range map[string]func(fd int) (downstreamFD, upstreamFD int){
		"downstream": func(fd int) (int, int) { return invalid, fd },
		"upstream":   func(fd int) (int, int) { return fd, invalid },
	} {
		pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			t.Fatal(err)
		}
		s, a := &session{}, &attempt{}
		downstreamFD, upstreamFD := descriptors(pair[0])
		if err := adoptDescriptors(loop, s, a, downstreamFD, upstreamFD); err == nil {
			t.Errorf("%s: invalid descriptor was adopted", name)
		}
		if n, err := unix.Write(pair[1], []byte("x")); err == nil {
			t.Errorf("%s: the other descriptor is still open, %d bytes were written to it", name, n)
		}
		if s.downstream != nil || a.conn != nil {
			t.Errorf("%s: a connection is set after the failure", name)
		}
		_ = unix.Close(pair[1]) // only this test uses it
	}
}
