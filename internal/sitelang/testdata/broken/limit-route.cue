include: ["../base.cue"]
pool: {a: {select: id_prefixes: ["a"], precedence: 1, max_open: 100}, b: {select: id_prefixes: ["b"], precedence: 1, max_open: 50}}
route: x: {match: class: ["album-notes"], to: {a: "50 %", b: "50 %"}, max_open: 200}
