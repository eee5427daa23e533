include: ["left.cue", "right.cue", "l*.cue"]
