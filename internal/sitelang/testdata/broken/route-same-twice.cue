include: ["../base.cue"]
route: x: {match: class: ["album-feed"], to: thies: "100 %"}
