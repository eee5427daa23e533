// What every file here shares: a whole site with two pools.
proxy: {
	name:     "n0"
	listen:   "127.0.0.1:8081"
	seed:     "8c1f30d27a5be964"
	memory:   "192 MiB"
	sockets:  1024
	cores:    1
	zone:     "thies"
	tier:     3
	number:   0
}
discovery: {address: "127.0.0.1:8500", mode: "subscribe"}
zone: {thies: {}, dakar: {title: "Dakar"}}
class: {
	"album-feed": {aim: "800 ms", give_up: "3 s", worth: 5, effect: "safe", message_aim: "250 ms"}
	"album-notes": {aim: "300 ms", give_up: "1.2 s", worth: 2, effect: "keyed", dedup: "all", memory: "5 s"}
}
rules: {
	answer_slack: "16 ms", ask_every: "1 s", cold: "8.9 s", cold_from: "30 %", drain_grace: "3 s", fall: "1 s"
	overload_factor: 3
}
pool: {
	thies: select: zones: ["thies"]
	dakar: select: zones: ["dakar"]
}
policy: patient: {attempts: 4, deadline: "2 s", come_back: {from: "200 ms", to: "800 ms"}, fallback: ["dakar"]}
route: {
	feed: {match: class: ["album-feed"], to: {thies: "90 %", dakar: "10 %"}, policy: "patient"}
	rest: to: thies: "100 %"
}
default_route: "rest"
