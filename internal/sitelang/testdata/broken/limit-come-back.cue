include: ["../base.cue"]
policy: x: {come_back: to: "5 s"}
route: x: {match: class: ["album-notes"], to: thies: "100 %", policy: "x"}
