include: ["../base.cue"]
team: left: {}
