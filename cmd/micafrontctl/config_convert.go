package main

import (
	"fmt"
	"os"
	"strings"

	"example.org/micafront/internal/sitelang"
)

type convertCommand struct {
	File string `arg:"" help:"A site, or a file of the JSON form (.json)."`
	To   string `help:"The form to convert to: json or cue; by default the other one." enum:"json,cue,other" default:"other"`
}

// Run prints the file in the other form.
func (c *convertCommand) Run() error {
	isJSON := strings.HasSuffix(c.File, ".json")
	toSite := c.To == "cue" || c.To == "other" && isJSON
	switch {
	case !toSite:
		return c.printJSONForm()
	case !isJSON:
		return fmt.Errorf("%s is already in the site language", c.File)
	}
	return c.printSite()
}

// printSite converts a file of the JSON form to the site language and prints it. It does not check the file's values.
func (c *convertCommand) printSite() error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	converted, err := sitelang.FromJSON(text)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	_, err = os.Stdout.Write(converted)
	return err
}

// printJSONForm checks a site, or a file of the JSON form, and prints its JSON form.
func (c *convertCommand) printJSONForm() error {
	site, err := loadSite(c.File)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(append(site.JSON, '\n'))
	return err
}
