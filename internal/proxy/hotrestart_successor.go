package proxy

import (
	"errors"
	"time"

	"go.uber.org/zap"
)

const (
	// successorTimeout is how long after its last heartbeat a successor is taken to serve. Then this process accepts
	// again.
	successorTimeout = time.Second
	// peerLostTimeout is when a successor without heartbeats is given up.
	peerLostTimeout = 10 * time.Second
	// maxFailedTransfers is for how many steps in a row a successor may be too busy for another connection.
	maxFailedTransfers = 10
)

var errNoHeartbeat = errors.New("no heartbeat")

// successorProcess is the process to which this one has handed over.
type successorProcess struct {
	restart          *hotRestart
	link             peerLink
	serving          bool
	failedTransfers  int  // in a row
	refusesTransfers bool // after too many that failed
}

// onHeartbeat is part of linkedProcess. Once the successor serves, the accept queues are left to it.
func (proc *successorProcess) onHeartbeat(h heartbeat) {
	r := proc.restart
	if !h.Serving {
		return
	}
	if !proc.serving {
		proc.serving = true
		r.socket.close() // the next successor connects to this one
		r.log.Info("hot restart: successor serves")
	}
	r.host.pauseListeners(true)
}

// checkLiveness accepts clients again where the successor has become unresponsive, and gives it up in the end.
func (proc *successorProcess) checkLiveness() {
	age := proc.link.heartbeatAge()
	switch {
	case age > peerLostTimeout:
		proc.link.fail(errNoHeartbeat)
	case age > successorTimeout:
		proc.restart.host.pauseListeners(false)
	}
}

// transfer hands a connection and copies of its descriptors to the successor. Where that is busy, which the error is most
// likely due to, it may be tried again in a later step for as long as hotRestart.canTransfer.
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

// onLinkClosed is part of linkedProcess: this process serves on and waits for another successor.
func (proc *successorProcess) onLinkClosed(cause error) {
	r := proc.restart
	r.log.Debug("hot restart: link to the successor closed", zap.Error(cause))
	if r.successor != proc {
		return // it has gone before it got anything
	}
	r.successor = nil
	r.log.Info("hot restart: successor exited, this process serves")
	r.host.pauseListeners(false)
	if !r.host.isStopping() {
		r.offerHandover()
	}
	r.host.onPeersChanged()
}
