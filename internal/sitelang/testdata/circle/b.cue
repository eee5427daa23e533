include: ["sub/c.cue"]
team: b: {}
