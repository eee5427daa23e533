package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
)

// proxyReadyText is in the proxy's log line that ends in the address at which it serves.
const proxyReadyText = "serves at "

// demoProxy is a running proxy.
type demoProxy struct {
	addr    string
	command *exec.Cmd
	logDone chan struct{} // closed when the proxy's log has ended, which it does with the process
}

// startDemoProxy starts the proxy's program with a configuration, waits until it serves, and copies its log to the file
// logPath; "" discards it. If it fails, no process is left.
func startDemoProxy(program, dir string, config []byte, logPath string) (*demoProxy, error) {
	configPath := filepath.Join(dir, "config.json")
	if err := os.WriteFile(configPath, config, 0o600); err != nil {
		return nil, err
	}
	if logPath == "" {
		logPath = os.DevNull
	}
	log, err := os.Create(logPath)
	if err != nil {
		return nil, err
	}
	proxy := &demoProxy{command: proxyCommand(program, configPath, dir), logDone: make(chan struct{})}
	output, err := proxy.command.StderrPipe()
	if err != nil {
		return nil, errors.Join(err, log.Close())
	}
	if err := proxy.command.Start(); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	lines := bufio.NewScanner(output)
	if proxy.addr = copyUntilReady(lines, log); proxy.addr == "" {
		_ = proxy.command.Process.Kill() // it has most likely ended by itself
		failure := errors.New("the proxy ended before it served; --log FILE keeps what it said")
		return nil, errors.Join(failure, proxy.command.Wait(), log.Close())
	}
	go func() {
		defer close(proxy.logDone)
		for lines.Scan() {
			writeLine(log, lines.Text())
		}
		_ = log.Close() // a log that cannot be written doesn't end the demonstration
	}()
	return proxy, nil
}

// copyUntilReady copies log lines until the proxy serves, and returns its address; "" if the log ends before.
func copyUntilReady(lines *bufio.Scanner, log io.Writer) string {
	for lines.Scan() {
		writeLine(log, lines.Text())
		if _, addr, ok := strings.Cut(lines.Text(), proxyReadyText); ok {
			return strings.TrimSpace(addr)
		}
	}
	return ""
}

func writeLine(w io.Writer, line string) {
	_, _ = fmt.Fprintln(w, line) // a log that cannot be written doesn't end the demonstration
}

// stop asks the proxy to end and waits until it has. The error is that of the process.
func (p *demoProxy) stop() error {
	_ = p.command.Process.Signal(syscall.SIGTERM) // it may have ended by itself
	<-p.logDone
	return p.command.Wait()
}
