package controlplane

import (
	"errors"
	"time"

	"example.org/micafront/internal/consensus"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// saveRetryInterval is the interval between a replica's attempts to write to a full disk.
const saveRetryInterval = 250 * time.Millisecond

// isOutOfSpace reports whether a write failed for lack of space. The transaction was rolled back without a change, and may
// be repeated. After a failed sync (EIO) it must not be repeated, because the kernel may treat unwritten pages as written: the
// replica must stop.
func isOutOfSpace(err error) bool {
	return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT) || errors.Is(err, unix.EFBIG)
}

// retrySave repeats a save until there is space or the replica stops. It blocks the event loop, as a slow disk does, because
// the replica must not announce what it has not stored. The other replicas elect another leader meanwhile.
func (l *eventLoop) retrySave(save consensus.Save, err error) error {
	r := l.replica
	r.log.Error("micafront-controlplane: no space left in the data directory, retrying", zap.Error(err))
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
		r.log.Info("micafront-controlplane: the data directory has space again", zap.Duration("after", time.Since(since)))
	}
	return err
}
