// Command micafrontctl is micafront's command-line tool: it checks, formats, compares, explains and converts
// configurations, and runs a demonstration and benchmarks. The program micafront executes it when it is called with
// arguments, so that the proxy itself does not link the code of these commands.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"example.org/micafront/internal/stats"
	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"
)

// Nonzero exit codes of the program.
const (
	exitFailure       = 1 // an error, findings that are errors, or a difference
	exitLimitExceeded = 3 // evaluating a site took too long or too much memory
)

// commitDigits is the number of digits of the commit hash in the version.
const commitDigits = 12

// commandLine is the command line as kong parses it.
type commandLine struct {
	Serve      serveCommand                 `cmd:"" help:"Run the proxy from a site or a JSON configuration."`
	Config     configCommand                `cmd:"" help:"Check, format, compare, explain and convert configurations."`
	Demo       demoCommand                  `cmd:"" help:"Run a whole site on loopback, with a deploy of its feed servers."`
	Bench      benchCommand                 `cmd:"" help:"Run a benchmark."`
	Version    versionCommand               `cmd:"" help:"Print the version."`
	Completion kongplete.InstallCompletions `cmd:"" help:"Print the commands that make a shell complete this command line."`
}

// exitCode is an error that ends the program with this exit code. Messages have been printed before it is returned.
type exitCode int

func (code exitCode) Error() string { return fmt.Sprint("exit code ", int(code)) }

func main() {
	var c commandLine
	parser, err := kong.New(&c, kong.Name("micafront"), kong.UsageOnError(),
		kong.Description("A proxy that places long-lived connections on upstream servers. Without a command it serves with the configuration that EDGE_CONFIG names."),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, Summary: true}))
	if err != nil {
		panic(err) // the struct tags of commandLine are invalid
	}
	kongplete.Complete(parser)
	command, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	err = command.Run()
	var code exitCode
	if errors.As(err, &code) {
		os.Exit(int(code))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "micafront:", err)
		os.Exit(exitFailure)
	}
}

type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("this program was built without version information")
	}
	commit := stats.Commit(commitDigits)
	if commit != "" {
		commit = " commit " + commit
	}
	fmt.Printf("micafront %s%s, %s\n", info.Main.Version, commit, info.GoVersion)
	return nil
}
