include: ["../base.cue"]
policy: x: {fallback: ["dakkar"]}
route: x: {match: class: ["album-notes"], to: thies: "100 %", policy: "x"}
