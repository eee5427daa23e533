include: ["../base.cue"]
pool: third: {select: id_prefixes: ["q-"], precedence: 1}
route: third: {match: class: ["album-notes"], to: third: "100 %"}
known: {generation: 1, instances: [{id: "s-1", zone: "thies", lifecycle: "in_service"}, {id: "s-2", zone: "dakar", lifecycle: "in_service"}]}
