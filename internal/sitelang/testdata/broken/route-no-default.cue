include: ["../base-no-default.cue"]
route: rest2: {match: class: ["album-notes"], to: thies: "100 %"}
