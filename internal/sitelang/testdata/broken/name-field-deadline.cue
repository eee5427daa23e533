include: ["../base.cue"]
route: x: {match: fields: d: exact: ["1"], to: thies: "100 %"}
