include: ["../diamond/../base.cue"]
team: right: {}
