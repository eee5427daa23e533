include: ["../base.cue"]
route: x: {match: klass: ["album-feed"], to: thies: "100 %"}
