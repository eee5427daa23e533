include: ["../base-no-routes.cue"]
extra: routing: {
	Pools: [{name: "one"}, {name: "two"}]
	routes: [{name: "rest", to: [{pool: "one", ppm: 1000000}]}]
}
