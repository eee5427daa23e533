include: ["../base.cue", "../extra-pools.cue"]
known: {generation: 1, reset: true, instances: [{id: "s-1", zone: "thies", lifecycle: "in_service"}]}
