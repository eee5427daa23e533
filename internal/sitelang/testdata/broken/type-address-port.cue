include: ["../base.cue"]
listener: lan: address: "127.0.0.1"
