include: ["../base.cue"]
policy: x: {come_back: {from: "500 ms", to: "100 ms"}}
route: x: {match: class: ["album-notes"], to: thies: "100 %", policy: "x"}
