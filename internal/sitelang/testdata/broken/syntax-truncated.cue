include: ["../base.cue"]
route: x: {match: class: ["album-fe