include: ["../base.cue"]
policy: {a: {attempts: 2}, "a": {deadline: "1 s"}}
