include: ["../base.cue"]
route: x: {match: class: ["album-notes", 5], to: thies: "100 %"}
