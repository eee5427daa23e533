package main

import (
	"fmt"
	"os"
	"strings"

	"example.org/micafront/internal/routing"
	"example.org/micafront/internal/sitereport"
)

type diffCommand struct {
	Current      string `arg:"" name:"old" help:"The version in force."`
	Proposed     string `arg:"" name:"new" help:"The version to come."`
	JSON         bool   `help:"Print the changes as JSON." name:"json"`
	Against      string `help:"An endpoint list in discovery's form: reports the endpoints that change pools and counts moved keys." type:"existingfile"`
	KeysPerClass int    `name:"keys" help:"How many keys of each class to count." default:"10000"`
}

// Run prints what the proposed version changes. As with diff(1), the exit code is 1 if it changes anything.
func (c *diffCommand) Run() error {
	list, err := readEndpointList(c.Against)
	if err != nil {
		return err
	}
	current, err := loadSite(c.Current)
	if err != nil {
		return err
	}
	proposed, err := loadSite(c.Proposed)
	if err != nil {
		return err
	}
	diff, err := sitereport.NewDiff(current, proposed, list, c.KeysPerClass, now())
	if err != nil {
		return err
	}
	if c.JSON {
		err = printJSON(diff)
	} else {
		err = diff.Write(os.Stdout)
	}
	if err == nil && !diff.Empty() {
		return exitCode(exitFailure)
	}
	return err
}

type explainCommand struct {
	Site     string `arg:"" help:"The site."`
	Line     string `arg:"" help:"A first line, such as 'OPEN id key c=album-feed,d=2000'."`
	Listener string `help:"The listener that accepted the connection." default:"main"`
	Against  string `help:"An endpoint list in discovery's form; by default the one in the site." type:"existingfile"`
	JSON     bool   `help:"Print the explanation as JSON." name:"json"`
}

// Run prints how the site routes a connection with this first line.
func (c *explainCommand) Run() error {
	list, err := readEndpointList(c.Against)
	if err != nil {
		return err
	}
	site, err := loadSite(c.Site)
	if err != nil {
		return err
	}
	if _, known := site.RoutingSet.Listeners[c.Listener]; !known && c.Listener != routing.MainListener {
		return fmt.Errorf("the site has no listener %q", c.Listener)
	}
	if list == nil {
		list = &site.KnownEndpoints
	}
	firstLine := []byte(strings.TrimRight(c.Line, "\r\n") + "\r\n")
	explanation, err := sitereport.Explain(site, firstLine, c.Listener, list, now())
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(explanation)
	}
	return explanation.Write(os.Stdout)
}
