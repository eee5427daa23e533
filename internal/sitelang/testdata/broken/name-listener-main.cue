include: ["../base.cue"]
listener: main: address: "127.0.0.1:9"
