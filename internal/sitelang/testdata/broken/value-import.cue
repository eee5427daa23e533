import "strings"
include: ["../base.cue"]
default_route: strings.ToLower("REST")
