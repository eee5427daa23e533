include: ["../base-no-memory.cue"]
proxy: memory: "192 MB"
