include: ["../base.cue"]
route: x: {match: class: ["album-notes"], to: thies: "100 %", policy: "patent"}
