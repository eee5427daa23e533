package config

import "example.org/micafront/internal/apperror"

// Kinds of errors in a configuration. Package routing defines the kinds of errors in routes.
var (
	missingValue    = apperror.NewKind("config/missing", "set what is named: the variable in the environment or the member in the file, as README.md lists them")
	unreadableFile  = apperror.NewKind("config/unreadable", "see that EDGE_CONFIG names a file that this process may read, and beside a .cue file that micafrontctl lies beside the program, or MICAFRONT_TOOLS names it")
	malformedMember = apperror.NewKind("config/malformed", "correct the member that is named, or write the file anew: it was cut short or has another form; micafront config check FILE shows all faults")
	invalidAddress  = apperror.NewKind("config/address", "write the address as numbers, such as 10.0.0.4:8081; names are not looked up")
	invalidValue    = apperror.NewKind("config/figure", "correct the figure or name; micafront config check FILE shows all faults")
	invalidSite     = apperror.NewKind("config/site", "correct the site: micafront config check FILE names file, line and cure of each fault")
	droppedKey      = apperror.NewKind("config/key-dropped", "put the key back: a file that is read while the program runs has all keys that the one in force has; to drop a key, restart")
	invalidFleet    = apperror.NewKind("config/fleet-record", "correct the named member of the configuration's fleet record; docs/FLEET.md lists each with its bounds")
)
