include: ["../base.cue"]
known: {generation: 1, instances: [{id: "s-1", zone: "thies", lifecycle: "in_service"}, {id: "s-2", zone: "dakar", lifecycle: "in_service"}, {id: "s-3", zone: "mbour", lifecycle: "in_service"}]}
