include: ["../base.cue"]
pool: "third pool": {select: id_prefixes: ["x"], precedence: 1}
route: x: {match: class: ["album-notes"], to: "third pool": "100 %"}
