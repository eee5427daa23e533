include: ["../base.cue"]
class: x: {aim: "soon", give_up: "2 s", worth: 1, effect: "safe"}
