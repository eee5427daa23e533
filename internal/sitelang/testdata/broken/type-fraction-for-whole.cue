include: ["../base.cue"]
policy: x: {attempts: 2.5}
route: x: {match: class: ["album-notes"], to: thies: "100 %", policy: "x"}
