include: ["../base.cue"]
class: x: {aim: class.x.give_up, give_up: class.x.aim, worth: 1, effect: "safe"}
