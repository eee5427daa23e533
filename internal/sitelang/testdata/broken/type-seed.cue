include: ["../base-no-seed.cue"]
proxy: seed: "xyz"
