include: ["../base.cue"]
pool: third: {select: zone: ["thies"]}
route: third: {match: class: ["album-notes"], to: third: "100 %"}
