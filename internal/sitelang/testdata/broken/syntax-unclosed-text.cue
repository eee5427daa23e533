include: ["../base.cue"]
default_route: "rest
