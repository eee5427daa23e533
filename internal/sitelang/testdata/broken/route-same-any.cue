include: ["../base.cue"]
route: x: {to: dakar: "100 %"}
