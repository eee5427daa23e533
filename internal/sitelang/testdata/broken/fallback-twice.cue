include: ["../base.cue"]
policy: x: {fallback: ["dakar", "dakar"]}
route: x: {match: class: ["album-notes"], to: thies: "100 %", policy: "x"}
