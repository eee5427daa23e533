include: ["../base.cue"]
/* old */
pool: x: {}
