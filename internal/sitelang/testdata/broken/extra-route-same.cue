include: ["../base-no-routes.cue"]
extra: routing: {
	pools: [{name: "one"}]
	routes: [
		{name: "x", match: listener: ["main"], to: [{pool: "one", ppm: 1000000}]},
		{name: "y", match: listener: ["main"], to: [{pool: "one", ppm: 1000000}]},
	]
}
