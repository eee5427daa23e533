include: ["../base.cue"]
pool: third: {select: zones: {thies: true}}
route: third: {match: class: ["album-notes"], to: third: "100 %"}
