include: ["../base-no-limits.cue"]
limits: {attempts: 6, connect: "200 ms", come_back_most: "1 s", open_most: 100000, cancel: "yes"}
