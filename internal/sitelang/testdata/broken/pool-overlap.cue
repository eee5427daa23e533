include: ["../base.cue"]
pool: third: {select: machine_types: ["m2"]}
route: third: {match: class: ["album-notes"], to: third: "100 %"}
