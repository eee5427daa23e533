include: ["../base-no-routes.cue"]
extra: routing: {
	pools: [{name: "one"}]
	routes: [
		{name: "rest", to: [{pool: "one", ppm: 1000000}]},
		{name: "feed", match: class: ["album-feed"], precedence: -1, to: [{pool: "one", ppm: 1000000}]},
	]
}
