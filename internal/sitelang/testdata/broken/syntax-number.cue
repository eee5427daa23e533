include: ["../base.cue"]
pool: x: max_open: 0x
