include: ["../base.cue"]
route: x: {match: {class: ["album-notes"], zone: ["thiess"]}, to: thies: "100 %"}
