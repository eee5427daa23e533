include: ["../base.cue"]
class: x: {aim: "2 h", give_up: "2 s", worth: 1, effect: "safe"}
