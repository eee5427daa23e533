include: ["../base.cue"]
route: x: {match: class: ["album-nots"], to: thies: "100 %"}
