include: ["../base.cue"]
policy: x: {attempts: 9}
route: x: {match: class: ["album-notes"], to: thies: "100 %", policy: "x"}
