// Command micafront is the proxy: it places clients' long-lived connections on endpoints and relays them.
//
// Without arguments it runs the proxy, configured by the environment and the file that EDGE_CONFIG names. With arguments it
// executes micafrontctl, which implements all other commands. SIGTERM and SIGINT shut the proxy down gracefully, SIGHUP
// reloads the configuration and SIGUSR1 logs the counters.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/config"
	"example.org/micafront/internal/logging"
	"example.org/micafront/internal/proxy"
)

// Exit codes.
const (
	exitFailed      = 1 // the proxy could not start or ended with an error
	exitToolsFailed = 2 // micafrontctl could not be executed
)

// Capacities of the signal queues. A reload that arrives at a full queue is dropped, because the queued ones read the same
// file.
const (
	maxQueuedSignals = 8
	maxQueuedReloads = 64
)

// envLog is the environment variable that sets the format and the level of the log.
const envLog = "MICAFRONT_LOG"

func main() {
	// A shell sets COMP_LINE when it requests the completion of a command line.
	if len(os.Args) > 1 || os.Getenv("COMP_LINE") != "" {
		err := execTools()
		fmt.Fprintln(os.Stderr, "micafront:", err)
		os.Exit(exitToolsFailed)
	}
	if err := serve(); err != nil {
		fmt.Fprintln(os.Stderr, "micafront:", oneLine(err))
		os.Exit(exitFailed)
	}
}

// oneLine returns an error and its resolutions on one line.
func oneLine(err error) string {
	line := strings.ReplaceAll(err.Error(), "\n", "; ")
	if resolutions := apperror.Resolutions(err); len(resolutions) > 0 {
		line += " (" + strings.Join(resolutions, "; ") + ")"
	}
	return line
}

// execTools replaces this process with micafrontctl, so that the proxy does not link the other commands. It returns only if
// that fails.
func execTools() error {
	path, err := config.ToolsPath(os.Getenv)
	if err != nil {
		return err
	}
	args := append([]string{"micafront"}, os.Args[1:]...)
	return fmt.Errorf("execute %s, which implements the commands: %w", path, syscall.Exec(path, args, os.Environ()))
}

// serve runs the proxy until it is stopped.
func serve() error {
	// Registered first, because until then any of these signals, including SIGHUP, terminates the process.
	signals := make(chan os.Signal, maxQueuedSignals)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1)
	signal.Ignore(syscall.SIGPIPE) // otherwise the process would end once the reader of its standard error closes
	format, level, err := logging.Parse(os.Getenv(envLog))
	if err != nil {
		return fmt.Errorf("%s: %w", envLog, err)
	}
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	limitDescriptors(cfg)
	log := logging.New(os.Stderr, format, level)
	defer func() { _ = log.Close() }() // the process exits: there is nowhere left to report unwritten lines
	p, err := proxy.New(cfg, log)
	if err != nil {
		return err
	}
	go handleSignals(signals, p, log, cfg)
	logAddresses(p, log, cfg)
	return p.Run()
}

// logAddresses logs the addresses of the listeners. Scripts and tests wait for these lines.
func logAddresses(p *proxy.Proxy, log *logging.Logger, cfg *config.Config) {
	if addr := p.AdminAddr(); addr != "" {
		log.Info("micafront: operators call at " + addr)
	}
	for name, addr := range p.ExtraListenerAddrs() {
		log.Info("micafront: listener " + name + " is at " + addr)
	}
	log.Info("micafront: " + cfg.Name + " serves at " + p.Addr())
}

// handleSignals passes signals to the proxy until the process exits; they have no effect once the proxy's event loop has
// ended. Reloads run in a separate goroutine, because a site takes time to compile and a stop must not wait for it. Signals
// that are pending together arrive in no guaranteed order, which the proxy allows for in the timing of a stop.
//
// It ignores the errors of the proxy's methods: they come from evloop.Loop.Post, which cannot fail.
func handleSignals(signals <-chan os.Signal, p *proxy.Proxy, log *logging.Logger, cfg *config.Config) {
	reloads := make(chan struct{}, maxQueuedReloads)
	go func() {
		for range reloads {
			cfg = reload(p, cfg)
		}
	}()
	for s := range signals {
		switch s {
		case syscall.SIGUSR1:
			_ = p.WriteCounters(log)
		case syscall.SIGHUP:
			select {
			case reloads <- struct{}{}:
			default:
			}
		default:
			_ = p.Stop()
		}
	}
}

// reload rereads the configuration file and returns the configuration in use afterwards. An invalid file changes nothing.
func reload(p *proxy.Proxy, current *config.Config) *config.Config {
	next, err := current.Reload(os.Getenv)
	if err != nil {
		_ = p.RejectConfig(err)
		return current
	}
	limitDescriptors(next)
	_ = p.Reload(next)
	return next
}

// limitDescriptors lowers the process's limit on file descriptors to the configured one, because a descriptor that the
// kernel refuses does less harm than one above the limit. Where the limit cannot be changed, the proxy's own count still
// bounds them.
func limitDescriptors(cfg *config.Config) {
	if cfg.MaxDescriptors <= 0 {
		return
	}
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return
	}
	limit.Cur = min(uint64(cfg.MaxDescriptors), limit.Max)
	_ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)
}
