include: ["../base.cue", ".."]
