include: ["../base.cue"]
pools: x: {}
