include: ["../base.cue"]
route: {front: {match: class: ["album-feed", "album-notes"], to: dakar: "100 %", precedence: 5}}
