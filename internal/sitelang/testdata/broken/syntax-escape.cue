include: ["../base.cue"]
default_route: "re\qst"
