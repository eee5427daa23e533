include: ["../base.cue"]
proxy: zone: "dakar"
