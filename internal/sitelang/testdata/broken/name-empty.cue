include: ["../base.cue"]
team: "": {}
