include: ["../base.cue"]
team: t: {rate: 20}
