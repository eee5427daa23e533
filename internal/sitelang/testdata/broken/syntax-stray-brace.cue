include: ["../base.cue"]
pool: x: {}}
