include: ["../base.cue"]
class: x: {aim: "1 s", effect: "safe"}
