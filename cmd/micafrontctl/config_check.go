package main

import (
	"fmt"
	"os"

	"example.org/micafront/internal/sitelang"
)

type checkCommand struct {
	Sites   []string `arg:"" help:"The sites' root files."`
	JSON    bool     `help:"Print the findings as JSON, for editors." name:"json"`
	Strict  bool     `help:"Count warnings as errors."`
	Against string   `help:"An endpoint list in discovery's form, to check the pools against." type:"existingfile"`
}

// Run prints the findings of all sites, and a summary of each valid site.
func (c *checkCommand) Run() error {
	list, err := readEndpointList(c.Against)
	if err != nil {
		return err
	}
	all := sitelang.Findings{}
	failed := false
	for _, path := range c.Sites {
		site, findings := sitelang.LoadWithEndpoints(path, list)
		all = append(all, findings...)
		failed = failed || site == nil || c.Strict && len(findings) > 0
		if site != nil && !c.JSON {
			fmt.Printf("%s: %d files, %d classes, %d pools, %d routes, %d policies\n", path, len(site.Files),
				len(site.MatchSpace.Classes), len(site.RoutingSet.Pools), len(site.RoutingSet.Routes), len(site.RoutingSet.Policies))
		}
	}
	if c.JSON {
		err = printJSON(all)
	} else {
		for _, finding := range all {
			fmt.Fprintln(os.Stderr, finding)
		}
	}
	if failed && err == nil {
		return exitCode(exitFailure)
	}
	return err
}
