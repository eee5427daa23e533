include: ["../base.cue"]
include: ["none.cue"]
