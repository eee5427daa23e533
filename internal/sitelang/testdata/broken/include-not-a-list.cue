include: "../base.cue"
