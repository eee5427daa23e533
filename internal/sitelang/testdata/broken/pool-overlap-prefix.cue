include: ["../base.cue"]
pool: {a: {select: id_prefixes: ["s-1"], precedence: 1}, b: {select: id_prefixes: ["s-12"], precedence: 1}}
route: x: {match: class: ["album-notes"], to: {a: "50 %", b: "50 %"}}
