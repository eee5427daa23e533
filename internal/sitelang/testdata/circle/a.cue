include: ["../base.cue", "b.cue"]
