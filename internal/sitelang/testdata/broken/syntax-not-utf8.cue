include: ["../base.cue"]
zone: "thiès": {}
