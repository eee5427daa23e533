include: ["../base.cue"]
class: x: {aim: string, give_up: "2 s", worth: 1, effect: "safe"}
