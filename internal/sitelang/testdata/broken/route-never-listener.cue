include: ["../base.cue"]
route: {early: {match: {class: ["album-notes"], listener: ["main"]}, to: dakar: "100 %"}, late: {match: class: ["album-notes"], to: dakar: "100 %"}}
