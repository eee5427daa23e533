// Package deploy holds the sample site, for the demonstration.
package deploy

import _ "embed"

//go:embed thies.cue
var Thies []byte
