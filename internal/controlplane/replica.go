package controlplane

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"example.org/micafront/internal/consensus"
	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/logging"
	"go.uber.org/zap"
	"golang.org/x/net/netutil"
)

const (
	maxConns       = 8192     // open connections of callers
	maxHeaderBytes = 16 << 10 // of a request

	headerReadTimeout = 5 * time.Second
	connIdleTimeout   = 2 * time.Minute

	leadershipTransferTimeout = time.Second
	shutdownTimeout           = 2 * time.Second
)

// Replica is one member of the control plane. Run serves until Close, Kill or a fatal error.
type Replica struct {
	config    Config
	log       *logging.Logger
	metrics   *metrics
	store     *store
	transport *transport
	server    *http.Server
	listener  net.Listener
	limits    requestLimits
	discovery *discoveryState
	startedAt time.Time     // the origin of the event loop's clock
	leader    atomic.Uint64 // 0: none is known

	commitTimeout time.Duration // within which a command must be committed

	events   chan func(*eventLoop)
	stop     chan struct{} // closed to end the event loop
	stopOnce sync.Once     // guards the closing of stop
	done     chan struct{} // closed once the event loop has ended
	err      error         // the event loop's fatal error; valid once done is closed
}

// New opens the data directory and starts the replica's event loop. Run serves on the given listener, which may be inherited,
// or on the configured address if the listener is nil. New fails with BadConfig, ListenFailed, DataLocked, DataCorrupted,
// DataFailed, or an error of consensus.New.
func New(config Config, log *logging.Logger, listener net.Listener) (*Replica, error) {
	if err := config.Check(); err != nil {
		return nil, err
	}
	startedAt := time.Now()
	replica := &Replica{
		config:        config,
		log:           log,
		metrics:       newMetrics(),
		limits:        newRequestLimits(),
		listener:      listener,
		discovery:     newDiscoveryState(config.Discovery, startedAt, log),
		startedAt:     startedAt,
		commitTimeout: defaultCommitTimeout,
		events:        make(chan func(*eventLoop), maxPendingEvents),
		stop:          make(chan struct{}),
		done:          make(chan struct{}),
	}
	var err error
	if replica.store, err = openStore(config.Data); err != nil {
		return nil, err
	}
	loop, err := replica.restore()
	if err == nil && replica.listener == nil {
		if replica.listener, err = net.Listen("tcp", config.Listen); err != nil {
			err = ListenFailed.Wrap(config.Listen, err)
		}
	}
	if err != nil {
		return nil, errors.Join(err, replica.store.close())
	}
	replica.transport = newTransport(config.ID, config.peers(), replica.metrics, replica.reportDelivery)
	replica.server = &http.Server{
		Handler:           replica.handler(),
		ReadHeaderTimeout: headerReadTimeout,
		ReadTimeout:       requestReadTimeout,
		WriteTimeout:      responseWriteTimeout,
		IdleTimeout:       connIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          stdlog.New(io.Discard, "", 0), // it would log callers that disconnect, which is not an error here
	}
	go replica.runEventLoop(loop)
	return replica, nil
}

// restore builds the event loop's state from the stored log and snapshot.
func (r *Replica) restore() (*eventLoop, error) {
	stored, err := r.store.Load()
	if err != nil {
		return nil, err
	}
	var seed [8]byte
	_, _ = rand.Read(seed[:]) // never fails
	state := fleetconfig.NewStateMachine()
	node, err := consensus.New(consensus.Config{
		ID:             r.config.ID,
		Peers:          slices.Collect(maps.Keys(r.config.peers())),
		Seed:           binary.BigEndian.Uint64(seed[:]),
		Incarnation:    r.store.incarnation,
		ElectionTicks:  r.config.ElectionTicks,
		HeartbeatTicks: r.config.HeartbeatTicks,
		SnapshotEvery:  r.config.SnapshotEvery,
		Rejoin:         r.config.Rejoin,
		Log:            r.logRaft,
	}, state, stored)
	if err != nil {
		return nil, err
	}
	return newEventLoop(r, node, state), nil
}

// logRaft logs a message of the raft library: warnings and errors at warn level, others at debug level.
func (r *Replica) logRaft(level consensus.LogLevel, text string) {
	if level >= consensus.LogWarn {
		r.log.Warn("raft log", zap.String("text", text))
		return
	}
	r.log.Debug("raft log", zap.String("text", text))
}

// place names this replica in errors. Callers receive the name in this form.
func (r *Replica) place() string { return fmt.Sprintf("keeper %d", r.config.ID) }

// Addr returns the address that the replica serves on.
func (r *Replica) Addr() string { return r.listener.Addr().String() }

// UpdateAddresses changes the addresses of the peers and of service discovery while the replica runs. It fails with BadConfig
// if the configuration is invalid or lists another set of replicas, and ignores the other members of the configuration.
func (r *Replica) UpdateAddresses(config Config) error {
	if err := config.Check(); err != nil {
		return err
	}
	currentIDs := slices.Sorted(maps.Keys(r.config.peers()))
	newIDs := slices.Sorted(maps.Keys(config.peers()))
	if !slices.Equal(newIDs, currentIDs) || config.ID != r.config.ID {
		return BadConfig.New("peers", "replicas changed from %d to %d, but the set of replicas of a fleet is fixed", currentIDs, newIDs)
	}
	r.transport.updateAddresses(config.peers())
	r.setDiscoveryAddress(config.Discovery)
	return nil
}

// Run serves until Close, Kill or a fatal error, which it returns.
func (r *Replica) Run() error {
	served := make(chan error, 1)
	go func() { served <- r.server.Serve(netutil.LimitListener(r.listener, maxConns)) }()
	var err error
	select {
	case err = <-served: // after Close or Kill, or because the listener failed
		if errors.Is(err, http.ErrServerClosed) {
			<-r.stop // Close waits for the requests in flight first
			err = nil
		} else {
			err = ListenFailed.Wrap(r.Addr(), err)
		}
	case <-r.done:
	}
	r.stopEventLoop()
	<-r.done
	r.transport.close()
	_ = r.server.Close() // the listener may be closed already
	return errors.Join(err, r.err, r.store.close())
}

// Close shuts the replica down gracefully: it transfers leadership, lets the requests in flight finish within a time
// limit, and then Run returns.
func (r *Replica) Close() {
	r.transferLeadership()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	// Watches of the endpoint list never end on their own. An error means that the event loop has ended, or does not respond.
	_ = r.runOnLoop(ctx, func(loop *eventLoop) { loop.endpoints.closing = true })
	_ = r.server.Shutdown(ctx) // Run ends the requests that take longer
	r.stopEventLoop()
}

// transferLeadership transfers leadership to another replica if this one is the leader. It waits until this replica no longer
// leads, for at most leadershipTransferTimeout.
func (r *Replica) transferLeadership() {
	ctx, cancel := context.WithTimeout(context.Background(), leadershipTransferTimeout)
	defer cancel()
	transferred := make(chan struct{})
	// The error can be ignored: if the operation does not run, ctx or done ends the wait below.
	_ = r.runOnLoop(ctx, func(loop *eventLoop) {
		if !loop.node.TransferLeadership() {
			close(transferred)
			return
		}
		loop.turnHooks = append(loop.turnHooks, func() bool {
			if loop.node.Leading() {
				return false
			}
			close(transferred)
			return true
		})
	})
	select {
	case <-transferred:
	case <-ctx.Done():
	case <-r.done:
	}
}

// Kill stops the replica immediately and without a transfer of leadership, as a crash would. Run then returns.
func (r *Replica) Kill() {
	r.stopEventLoop()
	_ = r.server.Close() // Run closes it again
}

func (r *Replica) stopEventLoop() { r.stopOnce.Do(func() { close(r.stop) }) }
