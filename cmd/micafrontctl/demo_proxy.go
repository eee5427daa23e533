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

// proxyReadyText precedes the address in the log line by which the proxy announces that it serves.
const proxyReadyText = "serves at "

// demoProxy is a running proxy.
type demoProxy struct {
	addr    string
	command *exec.Cmd
	logDone chan struct{} // closed when the proxy's log ends, which happens when the process ends
}

// startDemoProxy starts the proxy's program with a configuration and waits until it serves. It copies the proxy's log to the
// file logPath; "" discards the log. If startDemoProxy returns an error, the process has ended.
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
		_ = proxy.command.Process.Kill() // the process has most likely exited already
		failure := errors.New("the proxy exited before it served; run with --log FILE to keep its log")
		return nil, errors.Join(failure, proxy.command.Wait(), log.Close())
	}
	go func() {
		defer close(proxy.logDone)
		for lines.Scan() {
			writeLine(log, lines.Text())
		}
		_ = log.Close() // errors of the log don't stop the demonstration
	}()
	return proxy, nil
}

// copyUntilReady copies log lines until the proxy serves, and returns its address; "" if the log ends first.
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
	_, _ = fmt.Fprintln(w, line) // errors of the log don't stop the demonstration
}

// stop sends SIGTERM to the proxy and waits until it exits. It returns the error with which the process ended.
func (p *demoProxy) stop() error {
	_ = p.command.Process.Signal(syscall.SIGTERM) // the process may have exited already
	<-p.logDone
	return p.command.Wait()
}
