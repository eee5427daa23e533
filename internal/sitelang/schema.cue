// The schema of the site language: typed records whose quantities carry units. The checker, the converters and the
// language reference read it. @json(path, …) gives the path of a field in the JSON form, followed by its unit or layout
// (schema.go lists them). @range(low, high) gives the range of accepted values. @match("pattern","description") gives a
// regular expression that a text must match, and describes such a text.

// A duration, such as "300 ms". Units: us, ms, s, min, h, d.
#Duration: =~"^[0-9]+([.][0-9]+)? ?(us|ms|s|min|h|d)$"

// A rate, such as "20/s". Units: /s, /min, /h.
#Rate: =~"^[0-9]+([.][0-9]+)? ?/(s|min|h)$"

// A size in memory, such as "192 MiB". Units: B, KiB, MiB, GiB.
#Bytes: =~"^[0-9]+([.][0-9]+)? ?(B|KiB|MiB|GiB)$"

// A fraction of a whole, such as "5 %". Units: %, ppm.
#Share: =~"^[0-9]+([.][0-9]+)? ?(%|ppm)$"

// An address: a numeric host and a port, such as "127.0.0.1:8081".
#Address: string

// A whole site: what one proxy serves, to which next hops, by which routes.
#Site: {
	// Further files, by paths relative to this file; * and ? stand for any part of a name. A file counts once,
	// however often and by whatever way it is named.
	include?: [...string]
	// This proxy.
	proxy: #Proxy @json()
	// Where the list of next hops comes from.
	discovery: #Discovery @json()
	// The zones that the site has. Where any are named, matches and pools can name no others.
	zone?: [string]: #Zone @json(routing.zones,list=name)
	// Further listeners. Every proxy has the one that proxy.listen names; matches call it "main".
	listener?: [string]: #Listener @json(routing.listeners,map)
	// The classes of connections. The first one is that of connections whose class is not known.
	class: [string]: #Class @json(settings.Categories,list=Name)
	// Customers with a share of the fleet.
	team?: [string]: #Team @json(settings.Customers,list=Name)
	// The allowances of the site.
	limits: #Limits @json(settings.Limits)
	// The figures of the four rules.
	rules: #Rules @json(settings.Invariants)
	// What the platform tells of its own ways.
	platform?: #Platform @json(settings.FamilyInfo)
	// What work beyond a customer's share is worth, as a part of its worth within.
	over_share_worth?: #Share @json(settings.OverShareWorth)
	// Sets of next hops. At any time a next hop is in one pool at most. Without any pool there is one of all.
	pool?: [string]: #Pool @json(routing.pools,list=name)
	// What a request may cost, and where else it may go.
	policy?: [string]: #Policy @json(routing.policies,list=name)
	// Which connections go to which pools.
	route?: [string]: #Route @json(routing.routes,list=name)
	// The route of connections that no other one matches. Without it they fail.
	default_route?: string @json(routing.default)
	// How long connections have to leave when their pool is taken out.
	drain_over?: #Duration @json(routing.drain_over_us,us) @range(100 ms, 1 h)
	// The list of next hops as last known, to begin with.
	known?: #Known @json(known)
	// Members of the JSON form that this language has no word for.
	extra?: {...} @json(,extra)
}

// What one proxy is told of itself.
#Proxy: {
	// Its name, the same after a restart.
	name: string @json(name)
	// Where clients connect.
	listen: #Address @json(listen)
	// Where staff call; without it they cannot.
	operator?: #Address @json(operator)
	// 64 bits in hexadecimal, for random numbers.
	seed: string @json(seed) @match("^[0-9a-fA-F]{1,16}$","a number in hexadecimal of up to 16 digits")
	// The memory that the process may use.
	memory?: #Bytes @json(limits.memory_mb,MiB) @range(16 MiB, 1024 GiB)
	// The descriptors that it may hold; 0: as many as the system gives.
	sockets?: int @json(limits.sockets) @range(0, 10000000)
	// The processor cores that it may use.
	cores?: number @json(limits.cores) @range(0, 4096)
	// The zone that it serves.
	zone?: string @json(settings.Zone)
	// How many proxies the tier has, this one included.
	tier: int @json(settings.Balancers) @range(1, 100000)
	// Its number in the tier, from 0.
	number?: int @json(settings.Me) @range(0, 100000)
}

// Discovery.
#Discovery: {
	// Its address.
	address: #Address @json(discovery)
	// How it speaks: "subscribe" where it has to be asked.
	mode: string @json(settings.Discovery)
}

// A zone of the site.
#Zone: {
	// What people call it.
	title?: string @json(title)
}

// A listener beside the main one.
#Listener: {
	// Where clients connect.
	address: #Address @json()
}

// A class of connections.
#Class: {
	// Set up within this earns the full worth.
	aim: #Duration @json(Aim,s) @range(0 ms, 1 h)
	// The client leaves after this, all its tries together.
	give_up: #Duration @json(GiveUp,s) @range(1 ms, 1 d)
	// What a connection is worth.
	worth: number @json(Credit) @range(0, 1000000000)
	// Whether a request may be repeated: "safe" always; "keyed" where the group of dedup sees it; "unsafe" only if no
	// attempt ran.
	effect: "safe" | "keyed" | "unsafe" @json(Effect)
	// Which next hops discard repeats of a keyed request.
	dedup?: "all" | "zone" | "cell" | "" @json(DedupScope)
	// For how long they do.
	memory?: #Duration @json(MemorySpan,s) @range(0 ms, 30 d)
	// The wanted time of a message on an open connection.
	message_aim?: #Duration @json(settings.FamilyInfo.MessageAim,s,parallel) @range(0 ms, 1 h)
	// Members of the JSON form that this language has no word for.
	extra?: {...} @json(,extra)
}

// A customer.
#Team: {
	// The requests that its share covers.
	rate?: #Rate @json(QuotaPerS,num) @range(0/s, 1000000000/s)
	// Its share of the fleet.
	share?: #Share @json(Share,ratio) @range("0 %", "100 %")
	// Open connections, over all proxies, within its share.
	connections?: number @json(settings.FamilyInfo.TenantQuotaConnections,parallel) @range(0, 1000000000)
	// Members of the JSON form that this language has no word for.
	extra?: {...} @json(,extra)
}

// The allowances of the site.
#Limits: {
	// Attempts for one request, the first one included.
	attempts: int @json(AttemptsCap) @range(1, 100)
	// An attempt must be connected within this.
	connect: #Duration @json(ConnectTimeout,s) @range(1 ms, 10 min)
	// The longest advice of a refusal on when to come back.
	come_back_most: #Duration @json(MaxRetryAfter,s) @range(0 ms, 1 h)
	// Connections taken and not ended; 0: no limit.
	open_most: int @json(MaxOpen) @range(0, 100000000)
	// Whether clients heed that advice.
	come_back?: bool @json(RetryAfter)
	// Whether next hops may be probed.
	probes?: bool @json(Probes)
	// Whether attempts may be called off.
	cancel?: bool @json(MayCancel)
	// Whether two attempts of one request may be out at once.
	second_copies?: bool @json(SecondCopies)
	// Members of the JSON form that this language has no word for.
	extra?: {...} @json(,extra)
}

// The figures of the four rules.
#Rules: {
	// How late a final answer may be.
	answer_slack: #Duration @json(AnswerSlack,s) @range(0 ms, 1 min)
	// Discovery is asked, or watched, at least this often.
	ask_every: #Duration @json(AskEvery,s) @range(0 ms, 1 h)
	// How long a next hop is cold after its start.
	cold: #Duration @json(Cold,s) @range(1 ms, 1 d)
	// What a cold one can take at first.
	cold_from: #Share @json(ColdFrom,ratio) @range("0 %", "100 %")
	// How long after the word that a next hop drains something new may still go there.
	drain_grace: #Duration @json(DrainGrace,s) @range(0 ms, 1 h)
	// How long a message may take before its next hop counts as fallen.
	fall: #Duration @json(Fall,s) @range(1 ms, 1 h)
	// What a cold next hop may be sent, as a multiple of what it can take.
	overload_factor: number @json(OverloadFactor) @range(0, 1000)
	// Members of the JSON form that this language has no word for.
	extra?: {...} @json(,extra)
}

// What the platform tells of its own ways.
#Platform: {
	// How open connections are carried: "pass" where their packets pass through.
	mode?: string @json(Mode)
	// Whether next hops tell their load.
	tells_load?: bool @json(TellsLoad)
	// Whether they tell the time that a message takes.
	tells_delay?: bool @json(TellsDelay)
	// Members of the JSON form that this language has no word for.
	extra?: {...} @json(,extra)
}

// A set of next hops, with a decision module of its own.
#Pool: {
	// Which next hops it takes; all of them without any condition.
	select?: #Select @json(select)
	// Of pools that would take one next hop, the one of the highest precedence has it.
	precedence?: int @json(precedence) @range(-1000000, 1000000)
	// Names that the pool, or one that it was split from, had in the configuration before.
	was?: [...string] @json(was)
	// Connections that may stand.
	max_open?: int @json(max_open) @range(1, 100000000)
	// Requests that may wait for their answer.
	max_waiting?: int @json(max_waiting) @range(1, 100000000)
}

// Conditions on a next hop; all hold, each by one of its values.
#Select: {
	// Its zone.
	zones?: [...string] @json(zones)
	// Its machine type.
	machine_types?: [...string] @json(machine_types)
	// Its cell.
	cells?: [...int] @json(cells)
	// How its id begins.
	id_prefixes?: [...string] @json(id_prefixes)
	// Its size, at least.
	size_from?: number @json(size_from) @range(0, 1000000)
	// Its size, at most.
	size_to?: number @json(size_to) @range(0, 1000000)
}

// What a request may cost and where else it may go.
#Policy: {
	// Attempts over all pools together.
	attempts?: int @json(attempts) @range(1, 100)
	// The longest that a request may wait for its connection, whatever its client says.
	deadline?: #Duration @json(deadline_us,us) @range(1 ms, 1 h)
	// The least and the most time after which a refused client is told to come back.
	come_back?: #ComeBack @json()
	// Pools to try, in this order, when the first one refuses or is full.
	fallback?: [...string] @json(fallback)
}

// When a refused client is told to come back.
#ComeBack: {
	// Not before.
	from?: #Duration @json(come_back_from_us,us) @range(0 ms, 1 h)
	// Not after.
	to?: #Duration @json(come_back_to_us,us) @range(0 ms, 1 h)
}

// Which connections go to which pools. The route of the higher precedence wins; at equal precedence the more specific
// one, compared by key, group, further fields, class, listener and zone, in this order: an exact text before a longer
// prefix, that before a shorter one, that before no condition.
#Route: {
	// What a connection's first line must have; all of it holds. Without any condition every line matches.
	match?: #Match @json(match)
	// The pools, each with its share of the keys; together 100 %.
	to: [string]: #Share @json(to,pairs=pool:ppm)
	// The policy; without one the limits hold.
	policy?: string @json(policy)
	// Before the routes of a lower precedence.
	precedence?: int @json(precedence) @range(-1000000, 1000000)
	// Connections that may stand by this route.
	max_open?: int @json(max_open) @range(1, 100000000)
	// Requests that may wait for their answer by this route.
	max_waiting?: int @json(max_waiting) @range(1, 100000000)
}

// Conditions on a first line; all hold, each by one of its values.
#Match: {
	// Its class.
	class?: [...string] @json(class)
	// The listener that took the connection.
	listener?: [...string] @json(listener)
	// The proxy's own zone.
	zone?: [...string] @json(zone)
	// The key.
	key?: #Text @json(key)
	// The group; the exact text "" is a line without one.
	group?: #Text @json(group)
	// Further fields of the line, by name; the exact text "" is a line without it.
	fields?: [string]: #Text @json(fields,map)
}

// A condition on a text: one of these holds.
#Text: {
	// It is this text.
	exact?: [...string] @json(exact)
	// It begins so.
	prefix?: [...string] @json(prefix)
}

// A list of next hops, as discovery gave it.
#Known: {
	// Its generation.
	generation: int @json(generation) @range(0, 9223372036854775807)
	// Whether it is the whole list.
	reset?: bool @json(reset)
	// The next hops.
	instances?: [...#Instance] @json(instances)
}

// One next hop.
#Instance: {
	// Its id.
	id: string @json(instanceId)
	// Its address.
	address?: string @json(hostPort)
	// Its zone.
	zone?: string @json(zone)
	// Its machine type.
	machine_type?: string @json(machineType)
	// Its cell.
	cell?: int @json(cell)
	// Whether it takes new connections.
	lifecycle: "in_service" | "terminating" | "terminated" @json(lifecycle)
	// Its size.
	size?: number @json(weight) @range(0, 1000000)
	// When it last started, from 1970 on; 0 is long ago.
	started?: #Duration @json(startedAtMs,ms) @range(0 ms, 100000 d)
	// Members of the JSON form that this language has no word for.
	extra?: {...} @json(,extra)
}
