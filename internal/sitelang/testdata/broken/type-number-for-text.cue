include: ["../base.cue"]
default_route: 5
