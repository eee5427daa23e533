include: ["../base.cue"]
pool: third: {select: id_prefixes: ["x"], precedence: 1}
