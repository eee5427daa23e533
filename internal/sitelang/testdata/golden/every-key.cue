// A site that sets each key of the schema.
proxy: {
	name:     "thies-1"
	listen:   "127.0.0.1:8081"
	operator: "127.0.0.1:9081"
	seed:     "8c1f30d27a5be964"
	memory:   "192 MiB"
	sockets:  1024
	cores:    0.5
	zone:     "thies"
	tier:     7
	number:   2
}
discovery: {
	address: "127.0.0.1:8500"
	mode:    "subscribe"
}
zone: {
	thies: title: "Thiès"
	dakar: title: "Dakar"
}
listener: inner: address: "127.0.0.1:8082"
class: {
	"album-feed": {
		aim:         "300 ms"
		give_up:     "1.2 s"
		message_aim: "250 ms"
		worth:       2.5
		effect:      "keyed"
		dedup:       "cell"
		memory:      "5 s"
		extra: Streaming: true
	}
	"album-notes": {
		aim:         "150 us"
		give_up:     "2 min"
		message_aim: "100 ms"
		worth:       1
		effect:      "unsafe"
	}
}
team: {
	post: {
		rate:        "750/min"
		share:       "40 %"
		connections: 30
		extra: Contact: "oncall"
	}
	chat: share: "125000 ppm"
}
limits: {
	attempts:       3
	connect:        "200 ms"
	come_back_most: "1 s"
	open_most:      100000
	come_back:      true
	probes:         true
	cancel:         true
	second_copies:  true
	extra: Queue: 5
}
rules: {
	answer_slack:    "20 ms"
	ask_every:       "10 s"
	cold:            "24 s"
	cold_from:       "15 %"
	drain_grace:     "250 ms"
	fall:            "2 s"
	overload_factor: 3
	extra: Spare: 0.25
}
platform: {
	mode:        "pass"
	tells_load:  true
	tells_delay: true
	extra: Groups: true
}
over_share_worth: "12.5 %"
pool: {
	thies: {
		select: {
			zones: ["thies"]
			machine_types: ["m2", "m3"]
			cells: [3, 4]
			id_prefixes: ["s-"]
			size_from: 0.25
			size_to:   2
		}
		precedence:  3
		max_open:    400
		max_waiting: 50
	}
	dakar: {
		select: zones: ["dakar"]
		was: ["ndakaaru"]
	}
}
policy: patient: {
	attempts: 2
	deadline: "800 ms"
	come_back: {
		from: "200 ms"
		to:   "900 ms"
	}
	fallback: ["dakar"]
}
route: {
	feeds: {
		match: {
			class: ["album-feed"]
			listener: ["inner", "main"]
			zone: ["thies"]
			key: {
				exact: ["k1", "k2"]
				prefix: ["k-"]
			}
			group: exact: ["g1"]
			fields: app: prefix: ["a-"]
		}
		to: {
			thies: "90 %"
			dakar: "10 %"
		}
		policy:      "patient"
		precedence:  4
		max_open:    300
		max_waiting: 40
	}
	rest: to: thies: "100 %"
}
default_route: "rest"
drain_over:    "30 s"
known: {
	generation: 41
	reset:      true
	instances: [{
		id:           "s-5be2a07c"
		address:      "127.1.0.18:8081"
		zone:         "thies"
		machine_type: "m2"
		cell:         3
		lifecycle:    "in_service"
		size:         1.5
		started:      "20819 d"
		extra: rack: "r7"
	}, {
		id:        "d-1"
		address:   "127.1.0.19:8081"
		zone:      "dakar"
		lifecycle: "in_service"
		size:      1
	}]
}
extra: note: "kept as it is"
