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

// Environment variables that configure InstallFaults.
const (
	envFaultEvery = "MICAFRONT_SOAK_FAULT_EVERY"
	envFaultSeed  = "MICAFRONT_SOAK_FAULT_SEED"
	envClockFile  = "MICAFRONT_SOAK_CLOCK_FILE"
)

// clockFilePollInterval is how often a process looks for a step of its wall clock.
const clockFilePollInterval = 50 * time.Millisecond

// InstallFaults makes the system calls of this process's event loops fail, and steps its wall clock, as its environment variables
// request. Call it before the program starts. It returns an error if a variable is not a valid number.
func InstallFaults() error {
	if path := os.Getenv(envClockFile); path != "" {
		installClock(path)
	}
	text := os.Getenv(envFaultEvery)
	if text == "" {
		return nil
	}
	callsPerFault, err := strconv.Atoi(text)
	if err != nil || callsPerFault <= 0 {
		return fmt.Errorf("%s=%q is not a positive integer", envFaultEvery, text)
	}
	seed, err := strconv.ParseUint(os.Getenv(envFaultSeed), 10, 64)
	if err != nil {
		return fmt.Errorf("%s: %w", envFaultSeed, err)
	}
	installSystemFaults(&faultSource{random: rand.New(rand.NewPCG(seed, 1)), callsPerFault: callsPerFault})
	return nil
}

// faultSource decides at random which system calls fail. It has no lock, because only one event loop uses it.
type faultSource struct {
	random        *rand.Rand
	callsPerFault int
}

// drawError returns one of the errors with a probability of 1/callsPerFault, and otherwise nil.
func (f *faultSource) drawError(errnos ...unix.Errno) error {
	if f.random.IntN(f.callsPerFault) != 0 {
		return nil
	}
	return errnos[f.random.IntN(len(errnos))]
}

// installSystemFaults replaces the system calls of the event loops with versions that fail at random. It injects only errors after
// which an established connection can continue.
func installSystemFaults(faults *faultSource) {
	original := evloop.DefaultSystem
	system := &evloop.DefaultSystem
	system.Accept = func(fd int) (int, unix.Sockaddr, error) {
		if err := faults.drawError(unix.EINTR, unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM); err != nil {
			return -1, nil, err
		}
		return original.Accept(fd)
	}
	system.Socket = func(family int) (int, error) {
		if err := faults.drawError(unix.EMFILE, unix.ENFILE, unix.ENOBUFS); err != nil {
			return -1, err
		}
		return original.Socket(family)
	}
	system.Connect = func(fd int, addr unix.Sockaddr) error {
		if err := faults.drawError(unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.EHOSTUNREACH, unix.ETIMEDOUT, unix.ENOBUFS); err != nil {
			return err
		}
		return original.Connect(fd, addr)
	}
	system.Read = func(fd int, buffer []byte) (int, error) {
		if err := faults.drawError(unix.EINTR, unix.ENOBUFS, unix.ENOMEM); err != nil {
			return -1, err
		}
		if faults.drawError(0) != nil { // a short read
			buffer = buffer[:1]
		}
		return original.Read(fd, buffer)
	}
	system.Write = func(fd int, data []byte) (int, error) {
		if err := faults.drawError(unix.EINTR, unix.ENOBUFS, unix.ENOMEM); err != nil {
			return -1, err
		}
		if faults.drawError(0) != nil { // a short write
			data = data[:(len(data)+1)/2]
		}
		return original.Write(fd, data)
	}
}

// installClock shifts the wall clock by the number of nanoseconds in the file at path, as soon as the file exists.
func installClock(path string) {
	var step time.Duration
	var lastRead time.Time
	evloop.DefaultSystem.WallClock = func() time.Time {
		now := time.Now()
		if step == 0 && now.Sub(lastRead) > clockFilePollInterval {
			lastRead = now
			text, _ := os.ReadFile(path)
			nanoseconds, _ := strconv.ParseInt(string(text), 10, 64)
			step = time.Duration(nanoseconds)
		}
		return now.Add(step)
	}
}
