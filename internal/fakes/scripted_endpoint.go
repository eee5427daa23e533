package fakes

import "net"

// ScriptedEndpoint is an endpoint that passes its connections to the test.
type ScriptedEndpoint struct {
	ID   string
	Addr string
}

// NewScriptedEndpoint starts an endpoint that sends each accepted connection to conns. Several endpoints may share conns. The
// endpoint stops at the end of the test.
func NewScriptedEndpoint(t T, id string, conns chan *Peer) *ScriptedEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() { // until the listener is closed
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns <- NewPeer(t, conn)
		}
	}()
	return &ScriptedEndpoint{ID: id, Addr: listener.Addr().String()}
}
