include: ["../base.cue"]
route: x: {match: {class: ["album-notes"], listener: ["lan"]}, to: thies: "100 %"}
