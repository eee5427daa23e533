proxy: {
	name:    "thies-1"
	listen:  "127.0.0.1:8081"
	seed:    "8c1f30d27a5be964"
	memory:  "192 MiB"
	sockets: 1024
	cores:   1
	zone:    "thies"
	tier:    1
	number:  0
}
discovery: {
	address: "127.0.0.1:8500"
	mode:    "subscribe"
}
zone: {
	thies: {
		title: "Thiès"
	}
	dakar: {
		title: "Dakar"
	}
}
class: {
	"album-feed": {
		aim:         "300 ms"
		give_up:     "3 s"
		worth:       5
		effect:      "safe"
		message_aim: "150 ms"
	}
	"album-notes": {
		aim:         "150 ms"
		give_up:     "1.2 s"
		worth:       1
		effect:      "safe"
		message_aim: "100 ms"
	}
}
limits: {
	attempts:       6
	connect:        "200 ms"
	come_back_most: "1 s"
	open_most:      100000
	come_back:      true
	cancel:         true
}
rules: {
	answer_slack:    "16 ms"
	ask_every:       "1 s"
	cold:            "8.9 s"
	cold_from:       "30 %"
	drain_grace:     "3 s"
	fall:            "1 s"
	overload_factor: 3
}
platform: {}
pool: {
	thies: {
		select: {
			zones: ["thies"]
		}
	}
	dakar: {
		select: {
			zones: ["dakar"]
		}
	}
}
policy: {
	patient: {
		attempts: 5
		fallback: ["dakar", "thies"]
	}
	brief: {
		attempts: 2
		deadline: "800 ms"
		come_back: {
			from: "200 ms"
			to:   "800 ms"
		}
	}
}
route: {
	feeds: {
		match: {
			class: ["album-feed"]
		}
		to: {
			thies: "90 %"
			dakar: "10 %"
		}
		policy: "patient"
	}
	notes: {
		match: {
			class: ["album-notes"]
		}
		to: {
			thies: "100 %"
		}
		policy:      "brief"
		max_waiting: 500
	}
}
default_route: "feeds"
drain_over:    "30 s"
