package controlplane

import (
	"net"
	"os"
	"strconv"
)

// ListenerFDEnv is the environment variable in which a parent process passes the file descriptor of a listening socket.
const ListenerFDEnv = "MICAFRONT_KEEPER_FD"

// minInheritedFD is the first descriptor after standard input, output and error.
const minInheritedFD = 3

// InheritedListener returns the listener whose file descriptor a parent process has passed; nil if descriptor is empty. The
// error is a BadConfig.
func InheritedListener(descriptor string) (net.Listener, error) {
	if descriptor == "" {
		return nil, nil
	}
	fd, err := strconv.ParseUint(descriptor, 10, 16)
	if err != nil || fd < minInheritedFD {
		return nil, BadConfig.New(ListenerFDEnv, "%.20q is not a file descriptor of at least %d", descriptor, minInheritedFD)
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = file.Close() }() // the listener has its own duplicate
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, BadConfig.Wrap(ListenerFDEnv+"="+descriptor, err)
	}
	return listener, nil
}
