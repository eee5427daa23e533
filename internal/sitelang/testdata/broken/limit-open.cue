include: ["../base.cue"]
pool: third: {select: id_prefixes: ["x"], precedence: 1, max_open: 200000}
route: third: {match: class: ["album-notes"], to: third: "100 %"}
