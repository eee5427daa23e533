include: ["../base.cue"]
pool: third: {select: zones: ["mbour"]}
route: third: {match: class: ["album-notes"], to: third: "100 %"}
