package rig

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Attempt is a first line that reached a feed server.
type Attempt struct {
	Request string
	Line    string
	Server  string
	At      time.Time // when its connection was accepted, which is before its first byte
}

// Server is a sound feed server: it answers UP and returns each line.
type Server struct {
	ID, Addr string
	record   *Record
	listener net.Listener

	mu       sync.Mutex
	full     time.Duration // above 0: it is full, and answers BUSY after this time
	attempts []Attempt
	conns    map[net.Conn]bool
}

// NewServer starts a feed server.
func NewServer(record *Record, id string) (*Server, error) {
	addr, err := FreeAddr()
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, Addr: addr, record: record, conns: map[net.Conn]bool{}}
	if s.listener, err = net.Listen("tcp", addr); err != nil {
		return nil, err
	}
	go s.accept()
	return s, nil
}

// Entry returns the server's entry in the list.
func (s *Server) Entry(zone string, cell int) Entry {
	return Entry{ID: s.ID, Addr: s.Addr, Zone: zone, MachineType: "type-a", Cell: cell, Lifecycle: InService, Weight: 1}
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serve(conn, time.Now())
	}
}

func (s *Server) serve(conn net.Conn, acceptedAt time.Time) {
	defer func() {
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	if err != nil {
		return
	}
	words := strings.Fields(line)
	if len(words) != 4 || words[0] != "OPEN" {
		s.record.Printf("server %s: %q is answered NO", s.ID, line)
		fmt.Fprint(conn, "NO\r\n")
		return
	}
	s.mu.Lock()
	s.attempts = append(s.attempts, Attempt{words[1], strings.TrimSpace(line), s.ID, acceptedAt})
	s.mu.Unlock()
	s.record.Printf("server %s: got %s", s.ID, strings.TrimSpace(line))
	s.mu.Lock()
	full := s.full
	s.mu.Unlock()
	if full > 0 {
		time.Sleep(full)
		s.record.Printf("server %s: BUSY to %s", s.ID, words[1])
		fmt.Fprint(conn, "BUSY\r\n")
		return
	}
	fmt.Fprintf(conn, "UP %s-%s\r\n", s.ID, words[1])
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		fmt.Fprint(conn, line)
	}
}

// SetFull makes the server answer BUSY to each request, after a time.
func (s *Server) SetFull(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.full = after
}

// Attempts returns the first lines so far.
func (s *Server) Attempts() []Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Attempt(nil), s.attempts...)
}

// Stop ends the server as a process that ends: its listener and all its connections are closed.
func (s *Server) Stop() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
}
