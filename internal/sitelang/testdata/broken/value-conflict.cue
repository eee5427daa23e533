include: ["../base.cue"]
_slow: "3 s"
class: x: {aim: _slow, aim: "1 s", give_up: "2 s", worth: 1, effect: "safe"}
