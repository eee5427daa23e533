// Package deploy embeds the sample site, which the command-line tool uses for the demonstration and for a benchmark. The
// tests of this package check the deploy file and the other sites in this directory.
package deploy

import _ "embed"

// Thies is the sample site, thies.cue, in the site language. Callers must not modify it.
//
//go:embed thies.cue
var Thies []byte
