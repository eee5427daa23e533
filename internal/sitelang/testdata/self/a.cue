include: ["../base.cue", "a.cue"]
