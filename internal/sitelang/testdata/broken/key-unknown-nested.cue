include: ["../base.cue"]
class: x: {aim: "1 s", give_up: "2 s", worth: 1, effect: "safe", giveup: "2 s"}
