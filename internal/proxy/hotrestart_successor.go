package proxy

import (
	"errors"
	"time"

	"go.uber.org/zap"
)

const (
	// successorTimeout is how long after its last heartbeat a successor still counts as serving. After that this process
	// accepts clients again.
	successorTimeout = time.Second
	// peerLostTimeout is how long after its last heartbeat the link to a successor is closed.
	peerLostTimeout = 10 * time.Second
	// maxFailedTransfers is the number of consecutive drain steps in which a successor may fail to take a connection.
	maxFailedTransfers = 10
)

var errNoHeartbeat = errors.New("no heartbeat before the timeout")

// successorProcess is the process to which this one has handed over.
type successorProcess struct {
	restart          *hotRestart
	link             peerLink
	serving          bool
	failedTransfers  int  // consecutive
	refusesTransfers bool // set after more than maxFailedTransfers consecutive failures
}

// onHeartbeat implements linkedProcess. Once the successor serves, only the successor accepts clients.
func (proc *successorProcess) onHeartbeat(h heartbeat) {
	r := proc.restart
	if !h.Serving {
		return
	}
	if !proc.serving {
		proc.serving = true
		r.socket.close() // a later process connects to this successor instead
		r.log.Info("hot restart: successor serves")
	}
	r.host.pauseListeners(true)
}

// checkLiveness resumes the listeners after successorTimeout without a heartbeat, and closes the link after peerLostTimeout.
func (proc *successorProcess) checkLiveness() {
	age := proc.link.heartbeatAge()
	switch {
	case age > peerLostTimeout:
		proc.link.fail(errNoHeartbeat)
	case age > successorTimeout:
		proc.restart.host.pauseListeners(false)
	}
}

// transfer sends a connection and copies of its descriptors to the successor. An error most likely means that the successor is
// busy; the caller may retry in a later step while hotRestart.canTransfer returns true.
func (proc *successorProcess) transfer(conn *transferredConn, downstreamFD, upstreamFD int) error {
	text, err := json.Marshal(heartbeat{OpenDescriptors: proc.link.loop.ConnCount(), Serving: true, Transfer: conn})
	if err == nil {
		err = proc.link.conn.WriteWithDescriptors(append(text, '\n'), downstreamFD, upstreamFD)
	}
	if err != nil {
		proc.failedTransfers++
		proc.refusesTransfers = proc.failedTransfers > maxFailedTransfers
		return err
	}
	proc.failedTransfers = 0
	return nil
}

// onLinkClosed implements linkedProcess. This process accepts clients again and waits for another successor.
func (proc *successorProcess) onLinkClosed(cause error) {
	r := proc.restart
	r.log.Debug("hot restart: link to the successor closed", zap.Error(cause))
	if r.successor != proc {
		return // the process exited before it received the handover, or was replaced
	}
	r.successor = nil
	r.log.Info("hot restart: successor exited, this process serves")
	r.host.pauseListeners(false)
	if !r.host.isStopping() {
		r.offerHandover()
	}
	r.host.onPeersChanged()
}
