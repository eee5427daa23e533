include: ["../base.cue"]
class: x: {aim: "30 %", give_up: "2 s", worth: 1, effect: "safe"}
