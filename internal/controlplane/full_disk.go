package controlplane

import (
	"errors"
	"time"

	"example.org/micafront/internal/consensus"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// saveRetryInterval is how often a replica whose disk is full tries to write again.
const saveRetryInterval = 250 * time.Millisecond

// isOutOfSpace reports whether a write failed for lack of room, before anything was changed: the transaction was rolled back, and may
// be repeated. After a failed sync (EIO) that is not so: the kernel may take for written what is not, and the replica has to stop.
func isOutOfSpace(err error) bool {
	return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT) || errors.Is(err, unix.EFBIG)
}

// retrySave repeats a save until there is room, or the replica is to stop. Meanwhile the replica does nothing else, as with a slow
// disk: what it has not stored it must not tell, and the others elect another leader.
func (l *eventLoop) retrySave(save consensus.Save, err error) error {
	r := l.replica
	r.log.Error("micafront-controlplane: no room in the data directory, trying again", zap.Error(err))
	since := time.Now()
	ticker := time.NewTicker(saveRetryInterval)
	defer ticker.Stop()
	for isOutOfSpace(err) {
		select {
		case <-r.stop:
			return err
		case <-ticker.C:
			err = r.store.Save(save)
		}
	}
	if err == nil {
		r.log.Info("micafront-controlplane: the data directory has room again", zap.Duration("after", time.Since(since)))
	}
	return err
}
