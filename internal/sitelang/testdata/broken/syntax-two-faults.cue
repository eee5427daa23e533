include: ["../base.cue"]
pool: x: {max_open: }
route: = 4
