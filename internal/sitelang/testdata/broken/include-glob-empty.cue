include: ["../base.cue", "nothing-*.cue"]
