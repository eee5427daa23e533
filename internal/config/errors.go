package config

import "example.org/micafront/internal/apperror"

// Kinds of errors in a configuration. Package routing defines the kinds of errors in routes.
var (
	missingValue    = apperror.NewKind("config/missing", "set what is named: the variable in the environment or the member in the file, as README.md lists them")
	unreadableFile  = apperror.NewKind("config/unreadable", "check that EDGE_CONFIG names a file that this process may read; for a .cue file, check also that micafrontctl is in the directory of the program, or that MICAFRONT_TOOLS names it")
	malformedMember = apperror.NewKind("config/malformed", "correct the member that is named, or write the file anew: it was cut short or has another form; micafront config check FILE shows all faults")
	invalidAddress  = apperror.NewKind("config/address", "write the address as numbers, such as 10.0.0.4:8081; names are not looked up")
	invalidValue    = apperror.NewKind("config/figure", "correct the figure or name; micafront config check FILE shows all faults")
	invalidSite     = apperror.NewKind("config/site", "correct the site: micafront config check FILE names the file, the line and the resolution of each fault")
	droppedKey      = apperror.NewKind("config/key-dropped", "put the key back: a file that is read while the program runs must have all keys of the configuration in use; to drop a key, restart")
	invalidFleet    = apperror.NewKind("config/fleet-record", "correct the named member of the configuration's fleet record; docs/FLEET.md lists each with its bounds")
)
