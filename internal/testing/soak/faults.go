package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	"example.org/micafront/internal/evloop"
	"golang.org/x/sys/unix"
)

// Variables of a process's environment by which InstallFaults knows what to do.
const (
	envFaultEvery = "MICAFRONT_SOAK_FAULT_EVERY"
	envFaultSeed  = "MICAFRONT_SOAK_FAULT_SEED"
	envClockFile  = "MICAFRONT_SOAK_CLOCK_FILE"
)

// clockFileInterval is how often a process looks for a step of its wall clock.
const clockFileInterval = 50 * time.Millisecond

// InstallFaults makes the event loops of this process fail as its environment says. It is called before the program starts.
func InstallFaults() error {
	if path := os.Getenv(envClockFile); path != "" {
		installClock(path)
	}
	text := os.Getenv(envFaultEvery)
	if text == "" {
		return nil
	}
	every, err := strconv.Atoi(text)
	if err != nil || every <= 0 {
		return fmt.Errorf("%s=%q is no number above 0", envFaultEvery, text)
	}
	seed, err := strconv.ParseUint(os.Getenv(envFaultSeed), 10, 64)
	if err != nil {
		return fmt.Errorf("%s: %w", envFaultSeed, err)
	}
	installSystemFaults(&faultSource{random: rand.New(rand.NewPCG(seed, 1)), every: every})
	return nil
}

// faultSource draws which calls fail. One loop uses it.
type faultSource struct {
	random *rand.Rand
	every  int
}

// draw returns one of the errors now and then, and otherwise nil.
func (f *faultSource) draw(errnos ...unix.Errno) error {
	if f.random.IntN(f.every) != 0 {
		return nil
	}
	return errnos[f.random.IntN(len(errnos))]
}

// installSystemFaults replaces the calls by ones that fail now and then, in ways after which a connection goes on.
func installSystemFaults(faults *faultSource) {
	linux := evloop.DefaultSystem
	system := &evloop.DefaultSystem
	system.Accept = func(fd int) (int, unix.Sockaddr, error) {
		if err := faults.draw(unix.EINTR, unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM); err != nil {
			return -1, nil, err
		}
		return linux.Accept(fd)
	}
	system.Socket = func(family int) (int, error) {
		if err := faults.draw(unix.EMFILE, unix.ENFILE, unix.ENOBUFS); err != nil {
			return -1, err
		}
		return linux.Socket(family)
	}
	system.Connect = func(fd int, addr unix.Sockaddr) error {
		if err := faults.draw(unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.EHOSTUNREACH, unix.ETIMEDOUT, unix.ENOBUFS); err != nil {
			return err
		}
		return linux.Connect(fd, addr)
	}
	system.Read = func(fd int, buffer []byte) (int, error) {
		if err := faults.draw(unix.EINTR, unix.ENOBUFS, unix.ENOMEM); err != nil {
			return -1, err
		}
		if faults.draw(0) != nil { // a short read
			buffer = buffer[:1]
		}
		return linux.Read(fd, buffer)
	}
	system.Write = func(fd int, data []byte) (int, error) {
		if err := faults.draw(unix.EINTR, unix.ENOBUFS, unix.ENOMEM); err != nil {
			return -1, err
		}
		if faults.draw(0) != nil { // a short write
			data = data[:(len(data)+1)/2]
		}
		return linux.Write(fd, data)
	}
}

// installClock sets the wall clock by what the file at path holds, once it is there: a number of nanoseconds.
func installClock(path string) {
	var step time.Duration
	var lookedAt time.Time
	evloop.DefaultSystem.WallClock = func() time.Time {
		now := time.Now()
		if step == 0 && now.Sub(lookedAt) > clockFileInterval {
			lookedAt = now
			text, _ := os.ReadFile(path)
			nanoseconds, _ := strconv.ParseInt(string(text), 10, 64)
			step = time.Duration(nanoseconds)
		}
		return now.Add(step)
	}
}
