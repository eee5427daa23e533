include: ["../base.cue"]
route: x: {match: class: ["album-notes"], to: {thies: "60 %", dakar: "30 %"}}
