include: ["../base.cue"]
policy: third: attempts: 2
