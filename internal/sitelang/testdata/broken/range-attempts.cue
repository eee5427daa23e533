include: ["../base.cue"]
policy: x: {attempts: 0}
route: x: {match: class: ["album-notes"], to: thies: "100 %", policy: "x"}
