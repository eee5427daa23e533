package proxy

import "go.uber.org/zap"

// descriptorsPerTransfer is the number of descriptors that accompany a transferred connection: the client's and the
// endpoint's.
const descriptorsPerTransfer = 2

// predecessorProcess is the process that handed over to this one and still holds connections.
type predecessorProcess struct {
	restart   *hotRestart
	link      peerLink
	clientIDs map[string]bool // clients with a session there at the handover
}

// onHeartbeat implements linkedProcess.
func (proc *predecessorProcess) onHeartbeat(h heartbeat) {
	proc.restart.host.restoreEstablished(h.Established)
	if h.Transfer != nil {
		proc.receiveConnection(h.Transfer)
	}
}

// receiveConnection takes over a connection. A connection whose descriptors did not arrive is lost.
func (proc *predecessorProcess) receiveConnection(conn *transferredConn) {
	fds := proc.link.conn.TakeDescriptors(descriptorsPerTransfer)
	if fds == nil {
		return
	}
	proc.restart.host.adoptConnection(conn, fds[0], fds[1])
}

// onLinkClosed implements linkedProcess. This process continues whatever the cause, because it holds the whole handover.
func (proc *predecessorProcess) onLinkClosed(cause error) {
	r := proc.restart
	r.log.Debug("hot restart: link to the predecessor closed", zap.Error(cause))
	r.predecessor = nil
	r.host.onPredecessorExit()
	r.host.onPeersChanged()
}
