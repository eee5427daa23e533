include: ["../base.cue"]
policy: self: fallback: ["thies"]
route: x: {match: class: ["album-notes"], to: thies: "100 %", policy: "self"}
