include: ["../base.cue"]
pool: thies: max_open: 5
