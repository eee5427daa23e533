include: ["../base.cue", "[.cue"]
