team: c: {}
include: ["../b.cue"]
