include: ["../base.cue"]
route: x: {match: class: ["album-feed"]}
