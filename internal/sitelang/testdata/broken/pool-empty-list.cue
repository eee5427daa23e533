include: ["../base.cue"]
pool: third: {select: zones: []}
route: third: {match: class: ["album-notes"], to: third: "100 %"}
