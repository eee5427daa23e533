include: ["../base-no-routes.cue"]
pool: thies: {}
