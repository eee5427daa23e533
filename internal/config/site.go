package config

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// A separate program compiles site files, because the libraries of the site language would double this process's memory. The
// compiler runs as a short-lived child process and prints the JSON form.

const (
	// toolsProgram is in the directory of this program, unless the environment variable toolsEnv names another path.
	toolsProgram = "micafrontctl"
	toolsEnv     = "MICAFRONT_TOOLS"

	siteExtension = ".cue"
)

// Limits on the compiler.
const (
	compileTimeout        = 90 * time.Second
	compileWaitDelay      = time.Second // time for its output to end after it was killed
	maxCompiledMiB        = 128
	maxCompilerErrorBytes = 64 << 10
)

// readFile returns the JSON form of a configuration and reports whether it was compiled from a site file.
func readFile(path string, env func(string) string) (text []byte, compiled bool, err error) {
	if !strings.HasSuffix(path, siteExtension) {
		text, err = os.ReadFile(path)
		return text, false, err
	}
	tools, err := ToolsPath(env)
	if err != nil {
		return nil, true, err
	}
	text, err = compile(tools, path)
	return text, true, err
}

// compile runs the compiler on a site file and returns its output. If the compiler rejects the site, the error contains the
// compiler's messages on one line.
func compile(tools, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), compileTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, tools, "config", "convert", "--to", "json", path)
	output := &boundedBuffer{max: maxCompiledMiB << 20}
	compilerErrors := &boundedBuffer{max: maxCompilerErrorBytes}
	cmd.Stdout = output
	cmd.Stderr = compilerErrors
	cmd.WaitDelay = compileWaitDelay
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the compiler must not outlive this process
	if err := cmd.Run(); err != nil {
		if text := strings.TrimSpace(compilerErrors.buffer.String()); text != "" && ctx.Err() == nil {
			return nil, invalidSite.New("", "%s", strings.ReplaceAll(text, "\n", " | "))
		}
		return nil, invalidSite.Wrap(path, fmt.Errorf("compile the site: %w", err))
	}
	if output.overflow {
		return nil, invalidSite.New("", "%s compiles to more than %d MiB", path, maxCompiledMiB)
	}
	return output.buffer.Bytes(), nil
}

// ToolsPath returns the path of the program with all commands except serving: the path in the environment, or else
// micafrontctl in the directory of this program. It does not check that the program exists.
func ToolsPath(env func(string) string) (string, error) {
	if path := env(toolsEnv); path != "" {
		return path, nil
	}
	self, err := os.Executable()
	return filepath.Join(filepath.Dir(self), toolsProgram), err
}

// boundedBuffer stores up to max bytes. It discards each write that would exceed them.
type boundedBuffer struct {
	buffer   bytes.Buffer // not embedded, because io.Copy would then call its ReadFrom, which has no limit
	max      int
	overflow bool
}

// Write implements io.Writer; it never fails.
func (b *boundedBuffer) Write(p []byte) (int, error) {
	if b.buffer.Len()+len(p) > b.max {
		b.overflow = true
		return len(p), nil
	}
	return b.buffer.Write(p)
}
