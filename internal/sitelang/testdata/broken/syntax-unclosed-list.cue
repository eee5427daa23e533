include: ["../base.cue"]
pool: x: select: zones: ["thies"
