include: ["../base.cue"]
route: x: {match: fields: c: exact: ["album-feed"], to: thies: "100 %"}
