include: ["../base-no-routes.cue"]
extra: routing: {
	pools: [{name: "one"}, {name: "two", select: zones: ["thies"]}]
	routes: [{name: "rest", to: [{pool: "one", ppm: 1000000}]}]
}
