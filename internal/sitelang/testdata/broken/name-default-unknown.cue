include: ["../base-no-default.cue"]
default_route: "rests"
