include: ["../base.cue"]
route: x: {match: class: ["album-notes"], to: {thies: "99.99995 %", dakar: "0.00005 %"}}
