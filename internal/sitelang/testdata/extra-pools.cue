// Pools of the JSON form, which replace those of the base that is included before.
extra: routing: pools: [
	{name: "thies", select: zones: ["thies"]},
	{name: "dakar", select: zones: ["dakar"]},
	{name: "spare", select: zones: ["touba"]},
]
