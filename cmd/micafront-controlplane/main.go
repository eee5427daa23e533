// Command micafront-controlplane runs one replica of a fleet's control plane. The replicas agree on the active version of the
// configuration, and serve proxies and operators. docs/design/fleet-agreement.md describes their guarantees, and package
// controlplane their HTTP interface.
//
// On SIGHUP a replica reloads the addresses of its peers and of service discovery from the configuration file. On SIGTERM and
// SIGINT it shuts down gracefully.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/controlplane"
	"example.org/micafront/internal/logging"
	"github.com/alecthomas/kong"
	"go.uber.org/zap"
)

const programName = "micafront-controlplane"

// maxPendingSignals is the capacity of the signal channel. Signals that arrive while it is full are dropped.
const maxPendingSignals = 8

// exitFailure is the exit status if the program cannot start or its replica fails.
const exitFailure = 1

// commandLine holds the program's flags. A flag takes precedence over the member of the configuration file.
type commandLine struct {
	Config         string            `help:"The configuration file, in JSON; read again at SIGHUP for the addresses of the peers and of service discovery." short:"c" type:"existingfile"`
	ID             uint64            `help:"This replica's id among the peers."`
	Listen         string            `help:"The numeric address and port to serve on; with port 0 the system chooses one. A listener passed in MICAFRONT_KEEPER_FD takes precedence."`
	Data           string            `help:"The directory that holds the log." type:"path"`
	Peer           map[string]string `help:"A replica's id and address, id=host:port, for each replica and this one too." mapsep:"none"`
	TickMS         int               `name:"tick-ms" help:"The unit of the two flags below, in milliseconds."`
	ElectionTicks  int               `help:"How many ticks without a heartbeat from the leader start an election."`
	HeartbeatTicks int               `help:"The interval of the leader's heartbeats, in ticks."`
	Rejoin         bool              `help:"Rejoin after the data was lost, while all other replicas are up; one replica at a time."`
	Log            string            `help:"The log's form and level, separated by a comma: plain, console or json, and debug, info, warn or error." env:"MICAFRONT_LOG"`
}

func main() {
	var flags commandLine
	kong.Parse(&flags, kong.Name(programName), kong.UsageOnError(),
		kong.Description("Runs one replica of a fleet's control plane."))
	if err := run(&flags); err != nil {
		fmt.Fprintln(os.Stderr, programName+":", err)
		for _, resolution := range apperror.Resolutions(err) {
			fmt.Fprintln(os.Stderr, programName+": remedy:", resolution)
		}
		os.Exit(exitFailure)
	}
}

// config reads the configuration file, applies the flags, and validates the result. Its errors are of kind
// controlplane.BadConfig.
func (c *commandLine) config() (config controlplane.Config, err error) {
	if c.Config != "" {
		if config, err = controlplane.ReadConfig(c.Config); err != nil {
			return config, err
		}
	}
	override(&config.ID, c.ID)
	override(&config.Listen, c.Listen)
	override(&config.Data, c.Data)
	override(&config.TickMS, c.TickMS)
	override(&config.ElectionTicks, c.ElectionTicks)
	override(&config.HeartbeatTicks, c.HeartbeatTicks)
	if len(c.Peer) > 0 {
		config.Peers = c.Peer
	}
	config.Rejoin = c.Rejoin
	return config, config.Check()
}

// override sets a member to a flag's value. The zero value means that the flag is absent, and leaves the member unchanged.
func override[T comparable](member *T, flag T) {
	var zero T
	if flag != zero {
		*member = flag
	}
}

// run serves until SIGTERM or SIGINT, after which it returns nil, or until the replica fails.
func run(flags *commandLine) error {
	// This must be the first step, because the default action of these signals, including SIGHUP, ends the program.
	signals := make(chan os.Signal, maxPendingSignals)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	form, level, err := logging.Parse(flags.Log)
	if err != nil {
		return controlplane.BadConfig.Wrap("--log", err)
	}
	config, err := flags.config()
	if err != nil {
		return err
	}
	listener, err := controlplane.InheritedListener(os.Getenv(controlplane.ListenerFDEnv))
	if err != nil {
		return err
	}
	log := logging.New(os.Stderr, form, level)
	defer func() { _ = log.Close() }() // a failure to write to standard error cannot be reported
	replica, err := controlplane.New(config, log, listener)
	if err != nil {
		return err
	}
	go handleSignals(signals, flags, replica, log)
	// Scripts and test harnesses parse this line for the address, so the message contains it instead of a field.
	log.Info(fmt.Sprintf("%s: replica %d serves at %s", programName, config.ID, replica.Addr()))
	return replica.Run()
}

// handleSignals reloads the addresses on SIGHUP and closes the replica on other signals. It runs until the program exits.
func handleSignals(signals <-chan os.Signal, flags *commandLine, replica *controlplane.Replica, log *logging.Logger) {
	for received := range signals {
		if received != syscall.SIGHUP {
			go replica.Close() // run returns once the replica is closed
			continue
		}
		if err := reload(flags, replica); err != nil {
			log.Error(programName+": configuration rejected", zap.Error(err), zap.Strings("remedies", apperror.Resolutions(err)))
			continue
		}
		log.Info(programName + ": addresses updated")
	}
}

// reload updates the addresses of the peers and of service discovery from the configuration file.
func reload(flags *commandLine, replica *controlplane.Replica) error {
	config, err := flags.config()
	if err != nil {
		return err
	}
	return replica.UpdateAddresses(config)
}
