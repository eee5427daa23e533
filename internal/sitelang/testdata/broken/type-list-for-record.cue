include: ["../base.cue"]
policy: ["x"]
