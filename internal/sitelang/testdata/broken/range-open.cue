include: ["../base.cue"]
pool: third: {select: zones: ["thies"], precedence: 1, max_open: 0}
route: third: {match: class: ["album-notes"], to: third: "100 %"}
