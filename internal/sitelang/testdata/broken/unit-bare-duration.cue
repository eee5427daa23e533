include: ["../base.cue"]
class: x: {aim: 300, give_up: "2 s", worth: 1, effect: "safe"}
