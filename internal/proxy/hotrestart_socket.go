package proxy

import (
	"os"

	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/hotrestart"
)

// handoverSocket is the Unix socket at which a process waits for its successor.
type handoverSocket struct {
	path     string           // "": no socket, because there is no directory for it
	listener *evloop.Listener // nil: not open
	file     os.FileInfo      // identifies the open socket; nil: unknown
}

// open opens the socket, closing an earlier one first. accept is called for each process that connects.
func (s *handoverSocket) open(loop *evloop.Loop, accept func(*evloop.Conn) evloop.Handler) error {
	s.close()
	if s.path == "" {
		return nil
	}
	listener, err := hotrestart.Listen(loop, s.path, accept)
	if err != nil {
		return err
	}
	s.listener = listener
	s.file, _ = os.Lstat(s.path) // on an error removeFile leaves the file in place
	return nil
}

// removeFile removes the file of the open socket unless a successor has already replaced it with its own.
func (s *handoverSocket) removeFile() {
	if s.listener == nil {
		return
	}
	file, err := os.Lstat(s.path)
	if err == nil && os.SameFile(file, s.file) {
		_ = os.Remove(s.path) // the next process removes a leftover file
	}
}

// close stops accepting. The socket file remains.
func (s *handoverSocket) close() {
	if s.listener != nil {
		s.listener.Detach()
		s.listener = nil
	}
}
