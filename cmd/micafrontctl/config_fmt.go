package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"

	"example.org/micafront/internal/sitelang"
)

type fmtCommand struct {
	Files []string `arg:"" help:"Files of the site language."`
	Write bool     `help:"Write the files in place." short:"w" xor:"what"`
	Check bool     `help:"List the files that are not formatted; exit code 1 if any." xor:"what"`
}

// Run prints the formatted files, writes them in place, or lists those that are not formatted.
func (c *fmtCommand) Run() error {
	failed := false
	for _, path := range c.Files {
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		formatted, findings := sitelang.Format(path, text)
		for _, finding := range findings {
			fmt.Fprintln(os.Stderr, finding)
			failed = true
		}
		isFormatted := bytes.Equal(formatted, text)
		switch {
		case findings.HasErrors(): // there is nothing to print or to write
		case c.Check && !isFormatted:
			fmt.Println(path)
			failed = true
		case c.Write && !isFormatted:
			err = replaceFile(path, formatted)
		case !c.Check && !c.Write:
			_, err = os.Stdout.Write(formatted)
		}
		if err != nil {
			return err
		}
	}
	if failed {
		return exitCode(exitFailure)
	}
	return nil
}

// replaceFile replaces a file's content atomically and preserves its mode. If path is a symbolic link, it replaces the
// link's target.
func replaceFile(path string, text []byte) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if path, err = filepath.EvalSymlinks(path); err != nil {
		return err
	}
	temporary, err := os.CreateTemp(filepath.Dir(path), "."+filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	_, err = temporary.Write(text)
	if err == nil {
		err = temporary.Chmod(info.Mode().Perm())
	}
	if closeErr := temporary.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(temporary.Name(), path)
	}
	if err != nil {
		_ = os.Remove(temporary.Name()) // the first error is returned instead
	}
	return err
}
