include: ["../base.cue"]
pool: third: {select: {size_from: 2, size_to: 1}, precedence: 1}
route: third: {match: class: ["album-notes"], to: third: "100 %"}
