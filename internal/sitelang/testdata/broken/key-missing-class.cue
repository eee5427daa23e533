include: ["../base.cue"]
class: x: {aim: "1 s", worth: 1, effect: "safe"}
