include: ["../base.cue"]
listener: lan: address: "proxy.thies.sn:8081"
