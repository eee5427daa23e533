include: ["../base.cue"]
_dir: "x"
include: [_dir + ".cue"]
