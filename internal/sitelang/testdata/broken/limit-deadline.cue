include: ["../base.cue"]
policy: x: {deadline: "10 ms"}
route: x: {match: class: ["album-notes"], to: thies: "100 %", policy: "x"}
