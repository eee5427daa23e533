package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
)

type serveCommand struct {
	Config    string `help:"The site (.cue) or JSON configuration." short:"c" type:"existingfile" env:"EDGE_CONFIG" required:""`
	LogLevel  string `help:"The lowest level that is logged: debug, info, warn or error." enum:"debug,info,warn,error" default:"info"`
	LogFormat string `help:"The log's format: console or json." enum:"console,json" default:"console"`
}

// Run replaces this process with the proxy's program. It returns only if that fails.
func (c *serveCommand) Run() error {
	program, err := proxyProgram()
	if err != nil {
		return err
	}
	env := append(os.Environ(), "EDGE_CONFIG="+c.Config, "MICAFRONT_LOG="+c.LogFormat+","+c.LogLevel)
	err = syscall.Exec(program, []string{program}, env)
	return fmt.Errorf("executing %s: %w", program, err)
}

// proxyProgram returns the path of the proxy's program, which must be in the same directory as this program.
func proxyProgram() (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	program := filepath.Join(filepath.Dir(self), "micafront")
	if _, err := os.Stat(program); err != nil {
		return "", fmt.Errorf("the proxy's program is not in this program's directory: %w", err)
	}
	return program, nil
}

// proxyCommand returns a command that runs the proxy with a configuration file. It clears the environment variables that
// would override the configuration, and makes dir the proxy's directory for temporary files.
func proxyCommand(program, configPath, dir string) *exec.Cmd {
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+configPath, "EDGE_NAME=", "EDGE_LISTEN=", "EDGE_DISCOVERY=", "EDGE_OPERATOR=", "TMPDIR="+dir)
	return cmd
}
