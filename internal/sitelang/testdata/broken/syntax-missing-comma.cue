include: ["../base.cue"]
pool: x: {max_open: 5 max_waiting: 3}
