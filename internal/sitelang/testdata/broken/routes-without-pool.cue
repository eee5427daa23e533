include: ["../base-no-routes.cue"]
route: all: to: thies: "100 %"
