package controlplane

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"example.org/micafront/internal/consensus"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

const (
	storeFile     = "keeper.db"
	storeFormat   = "1"
	lockTimeout   = time.Second // how long to wait until another process ends and releases the file
	checksumBytes = 4
	indexBytes    = 8 // of a log entry's key
)

// Buckets and keys of the file.
var (
	metaBucket     = []byte("meta")
	logBucket      = []byte("log")
	formatKey      = []byte("form")
	stateKey       = []byte("state")
	snapshotKey    = []byte("snapshot")
	incarnationKey = []byte("incarnation")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// store implements consensus.Storage in a bbolt file, with one durable transaction for each Save. Each value begins with its
// checksum, since bbolt checks only its own metadata. Methods must not be called concurrently.
type store struct {
	db          *bbolt.DB
	path        string
	incarnation uint64 // of this process; it grows each time the file is opened
}

// openStore opens the file in a data directory, creates both if needed, and increments the incarnation. It fails with
// DataLocked, DataCorrupted or DataFailed.
func openStore(dir string) (*store, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, DataFailed.Wrap(dir, err)
	}
	s := &store{path: filepath.Join(dir, storeFile)}
	if err := s.recoverFaults(s.open); err != nil {
		_ = s.close() // the first error is the cause
		return nil, err
	}
	return s, nil
}

// open opens the file, creates it if needed, and increments the incarnation.
func (s *store) open() error {
	db, err := bbolt.Open(s.path, 0o600, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType})
	switch {
	case errors.Is(err, bbolterrors.ErrTimeout):
		return DataLocked.New(s.path, "another process has it open")
	case isCorruption(err):
		return DataCorrupted.Wrap(s.path, err)
	case err != nil:
		return DataFailed.Wrap(s.path, err)
	}
	s.db = db
	return db.Update(s.initialize)
}

// isCorruption reports whether an error from bbolt.Open means that the file is not a valid bbolt database.
func isCorruption(err error) bool {
	for _, corruption := range []error{bbolterrors.ErrInvalid, bbolterrors.ErrChecksum, bbolterrors.ErrVersionMismatch,
		bbolterrors.ErrInvalidMapping} {
		if errors.Is(err, corruption) {
			return true
		}
	}
	return false
}

// initialize creates the buckets, checks the file's format and increments the incarnation.
func (s *store) initialize(tx *bbolt.Tx) error {
	meta, err := tx.CreateBucketIfNotExists(metaBucket)
	if err != nil {
		return err
	}
	if _, err := tx.CreateBucketIfNotExists(logBucket); err != nil {
		return err
	}
	format, err := s.get(meta, formatKey)
	if err != nil {
		return err
	}
	if format != nil && string(format) != storeFormat {
		return DataCorrupted.New(s.path, "its format is %.20q, and this release reads %q", format, storeFormat)
	}
	if s.incarnation, err = s.lastIncarnation(meta); err != nil {
		return err
	}
	s.incarnation++
	return errors.Join(put(meta, formatKey, []byte(storeFormat)), put(meta, incarnationKey, indexKey(s.incarnation)))
}

// lastIncarnation returns the stored incarnation. For a new file it returns the current time in nanoseconds, which differs from
// the incarnations that this replica had with a data directory that was lost.
func (s *store) lastIncarnation(meta *bbolt.Bucket) (uint64, error) {
	value, err := s.get(meta, incarnationKey)
	switch {
	case err != nil:
		return 0, err
	case value == nil:
		return uint64(time.Now().UnixNano()), nil
	case len(value) != indexBytes:
		return 0, DataCorrupted.New(s.path, "its incarnation has %d bytes", len(value))
	}
	return binary.BigEndian.Uint64(value), nil
}

// recoverFaults runs an operation and converts panics and faults of mapped memory, which a corrupt file causes in bbolt, to
// DataCorrupted. An error that is not of a Data kind becomes DataFailed.
func (s *store) recoverFaults(operation func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = DataCorrupted.New(s.path, "%v", p)
		}
	}()
	if err = operation(); err != nil && !DataCorrupted.Matches(err) && !DataLocked.Matches(err) && !DataFailed.Matches(err) {
		err = DataFailed.Wrap(s.path, err)
	}
	return err
}

// indexKey returns the key of a log entry. Keys sort in the order of the indexes. The incarnation has the same encoding.
func indexKey(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// put stores a value with its checksum.
func put(bucket *bbolt.Bucket, key, value []byte) error {
	stored := make([]byte, 0, checksumBytes+len(value))
	stored = binary.BigEndian.AppendUint32(stored, crc32.Checksum(value, castagnoli))
	return bucket.Put(key, append(stored, value...))
}

// get returns a copy of a value, which remains valid after the transaction; nil if there is none. The error is DataCorrupted.
func (s *store) get(bucket *bbolt.Bucket, key []byte) ([]byte, error) {
	stored := bucket.Get(key)
	if stored == nil {
		return nil, nil
	}
	return s.verifyChecksum(fmt.Sprintf("%s: %.20q", s.path, key), stored)
}

// verifyChecksum returns a copy of a value without its checksum, or DataCorrupted.
func (s *store) verifyChecksum(place string, stored []byte) ([]byte, error) {
	if len(stored) < checksumBytes || binary.BigEndian.Uint32(stored) != crc32.Checksum(stored[checksumBytes:], castagnoli) {
		return nil, DataCorrupted.New(place, "the checksum of the %d bytes stored does not match", len(stored))
	}
	return append([]byte{}, stored[checksumBytes:]...), nil
}

// Save implements consensus.Saver. The error is DataCorrupted or DataFailed.
func (s *store) Save(save consensus.Save) error {
	return s.recoverFaults(func() error {
		return s.db.Update(func(tx *bbolt.Tx) error { return saveTo(tx, save) })
	})
}

func saveTo(tx *bbolt.Tx, save consensus.Save) error {
	meta := tx.Bucket(metaBucket)
	log := tx.Bucket(logBucket)
	if save.Snapshot != nil {
		if err := put(meta, snapshotKey, save.Snapshot); err != nil {
			return err
		}
	}
	if err := deleteRange(log, 0, save.DropThrough); err != nil {
		return err
	}
	if len(save.Entries) > 0 { // the new entries replace all stored ones from the first new index on
		if err := deleteRange(log, save.Entries[0].Index, math.MaxUint64); err != nil {
			return err
		}
	}
	for _, entry := range save.Entries {
		if err := put(log, indexKey(entry.Index), entry.Bytes); err != nil {
			return err
		}
	}
	if save.State != nil {
		return put(meta, stateKey, save.State)
	}
	return nil
}

// deleteRange deletes the entries with indexes from first to last, inclusive.
func deleteRange(log *bbolt.Bucket, first, last uint64) error {
	cursor := log.Cursor()
	key, _ := cursor.Seek(indexKey(first))
	for key != nil && binary.BigEndian.Uint64(key) <= last {
		if err := cursor.Delete(); err != nil {
			return err
		}
		key, _ = cursor.Seek(indexKey(first)) // a bbolt cursor must be repositioned after a deletion
	}
	return nil
}

// Load implements consensus.Storage. The error is DataCorrupted or DataFailed.
func (s *store) Load() (stored consensus.Stored, err error) {
	err = s.recoverFaults(func() error {
		return s.db.View(func(tx *bbolt.Tx) (err error) {
			stored, err = s.loadFrom(tx)
			return err
		})
	})
	return stored, err
}

func (s *store) loadFrom(tx *bbolt.Tx) (stored consensus.Stored, err error) {
	meta := tx.Bucket(metaBucket)
	if stored.Snapshot, err = s.get(meta, snapshotKey); err != nil {
		return stored, err
	}
	if stored.State, err = s.get(meta, stateKey); err != nil {
		return stored, err
	}
	err = tx.Bucket(logBucket).ForEach(func(key, value []byte) error {
		entry, err := s.decodeEntry(key, value)
		stored.Entries = append(stored.Entries, entry)
		return err
	})
	return stored, err
}

// decodeEntry decodes the log entry that is stored under a key. The error is DataCorrupted.
func (s *store) decodeEntry(key, value []byte) (consensus.Entry, error) {
	if len(key) != indexBytes {
		return consensus.Entry{}, DataCorrupted.New(s.path, "the key of a log entry has %d bytes, not %d", len(key), indexBytes)
	}
	index := binary.BigEndian.Uint64(key)
	encoded, err := s.verifyChecksum(fmt.Sprintf("%s: entry %d", s.path, index), value)
	return consensus.Entry{Index: index, Bytes: encoded}, err
}

// close closes the file if it is open. The error is DataCorrupted or DataFailed.
func (s *store) close() error {
	if s.db == nil {
		return nil
	}
	return s.recoverFaults(func() error { return s.db.Close() })
}
