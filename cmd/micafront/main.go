// Command micafront is the proxy: it places clients' long-lived connections on next hops.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"example.org/micafront/internal/config"
	"example.org/micafront/internal/proxy"
)

func main() {
	flag.Usage = func() {
		fmt.Fprintln(os.Stderr, "usage: micafront\nIt is told by EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and EDGE_CONFIG.")
	}
	flag.Parse()
	if flag.NArg() > 0 {
		flag.Usage()
		os.Exit(2)
	}
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "micafront:", err)
		os.Exit(1)
	}
}

func run() error {
	// Before all else: until then a signal would end the program by its default action, SIGHUP too.
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1)
	c, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	limit(c)
	p, err := proxy.New(c, os.Stderr)
	if err != nil {
		return err
	}
	go func() {
		for s := range signals {
			switch s {
			case syscall.SIGUSR1:
				_ = p.Print(os.Stderr)
			case syscall.SIGHUP:
				c = reload(p, c)
			default:
				_ = p.Stop()
			}
		}
	}()
	if at := p.Operator(); at != "" {
		fmt.Fprintf(os.Stderr, "micafront: operators call at %s\n", at)
	}
	fmt.Fprintf(os.Stderr, "micafront: %s serves at %s\n", c.Name, p.Addr())
	return p.Run()
}

// reload reads the file again and gives what is in force afterwards: a bad file changes nothing.
func reload(p *proxy.Proxy, c *config.Config) *config.Config {
	again, err := c.Again(os.Getenv)
	if err != nil {
		_ = p.Refused(err)
		return c
	}
	limit(again)
	_ = p.Reload(again)
	return again
}

// limit keeps the process under its limit by itself: a refused descriptor is better than one too many.
func limit(c *config.Config) {
	if c.Sockets > 0 {
		var r syscall.Rlimit
		if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r) == nil {
			r.Cur = min(uint64(c.Sockets), r.Max)
			_ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &r)
		}
	}
}
