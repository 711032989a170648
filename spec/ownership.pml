/*
 * Ownership of a key: one key, two targets, two entry instances as gates, and control as
 * one step (consensus.pml checks the log behind it). Any process may pause between
 * two steps; clocks keep running. A lease is a countdown in ticks. Replies arrive at once,
 * which gives the longest lease to the holder and the shortest wait to the grantor;
 * grants and requests may be delayed for any time or dropped.
 * Bounds: gate lease GATE_LEASE, grant lease GRANT_LEASE, fences up to FENCES, gate
 * epochs up to EPOCHS0 and EPOCHS1 of the targets, LEADERS changes of the leader, SLOTS grants
 * in flight to each target (the target accepts them in any order), one request in flight.
 * The -DNO_... switches each remove one rule; -DUNCHECKED is a target that checks
 * neither lease, fence nor epoch; -DREPLACE_LEASE is a target that replaces its lease by
 * that of each grant (docs/TARGETS.md) instead of keeping the later one; -DPROMPT lets no time pass between a gate's check
 * and the arrival of the request.
 */
#ifndef FENCES
#define FENCES 2
#endif
#ifndef EPOCHS0
#define EPOCHS0 2
#endif
#ifndef EPOCHS1
#define EPOCHS1 1
#endif
#define EPOCHS(y) (y == 0 -> EPOCHS0 : EPOCHS1)
#ifndef REQUESTS
#define REQUESTS 1
#endif
#ifndef LEADERS
#define LEADERS 0
#endif
#ifndef SLOTS
#define SLOTS 1
#endif
#ifndef GATE_LEASE
#define GATE_LEASE 2
#endif
#ifndef GRANT_LEASE
#define GRANT_LEASE 2
#endif
#define NOBODY 2
#define UNOWNED 0
#define OWNED 1
#define RELEASING 2
#define NO_ACK 7

/* control */
byte phase, owner, fence;
byte gateOf[2], epoch[2];	/* for each target */
byte held[2];			/* for each gate: ticks until control treats its lease as expired */
byte leaders;

typedef Session {		/* of a gate with a target */
	byte epoch;		/* 0: none */
	byte reading;		/* ticks until the grant lease after the last reading ends */
	byte loss;		/* ticks until the target's lease ends by the gate's clock */
	byte lease;		/* ticks left of the lease that the gate relies on */
	byte acked;		/* fence in the last acknowledged grant, 0 for no shard */
	bool lost;
	byte named		/* ticks until the leases of unanswered grants that name the shard end */
}
typedef Gate {
	byte lease;
	byte phase, owner, fence;	/* its view */
	Session s[2]
}
Gate g[2];

typedef Grant {
	byte epoch;		/* 0: none */
	byte until;
	byte fence;
	byte gate
}
typedef Target {
	byte lease, fence, epoch;
	Grant way[SLOTS]
}
Target t[2];
/* the one request in flight: 0 none, 1 awaited by its gate, 2 abandoned by it */
byte request;
byte reqGate, reqTarget, reqEpoch, reqFence;
byte highest;			/* checked: the highest fence that a target served under */

hidden byte i, j, until, shard;
hidden byte one_owner_serves, request_runs_at_owner, fences_only_rise;

#define SERVES(x) (t[x].lease > 0 && t[x].fence > 0)
#define DEC(v) v = ((v) > 0 -> (v) - 1 : 0)
#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define MAX(a, b) ((a) > (b) -> (a) : (b))

#ifdef NO_GRANT_CAP
#define CAP(x, y) g[x].s[y].reading
#else
#define CAP(x, y) MIN(g[x].s[y].reading, g[x].lease)
#endif
#define DRAINED(x, y) !(request == 1 && reqGate == x && reqTarget == y)
#ifdef NO_LOSS_WAIT
#define LEASE_OVER(x, y) true
#else
#define LEASE_OVER(x, y) (g[x].s[y].loss == 0)
#endif
#ifdef NO_GATE_WAIT
#define GATE_OVER(x) true
#else
#define GATE_OVER(x) (held[x] == 0)
#endif
#ifdef NO_WITHDRAWAL
#define WITHDRAWN(x, y) true
#else
#define WITHDRAWN(x, y) (g[x].s[y].acked != NO_ACK && g[x].s[y].acked != g[x].fence)
#endif
/* A release also waits for each grant that names the shard: for its reply, or else
   for the end of its lease. */
#ifdef NO_GRANT_WAIT
#define NONE_RUNS(x, y) true
#else
#define NONE_RUNS(x, y) (g[x].s[y].named == 0)
#endif
#define EPOCH_OK(e, y) ((e) >= t[y].epoch)
/* Of the grants of one epoch, a target accepts none whose lease ends before its own. */
#ifdef NO_GRANT_ORDER
#define ORDER_OK(y, w) true
#else
#define ORDER_OK(y, w) (t[y].way[w].epoch > t[y].epoch || t[y].way[w].until >= t[y].lease)
#endif
#ifdef NO_FENCE_CHECK
#define FENCE_OK(f, y) true
#else
#define FENCE_OK(f, y) ((f) == t[y].fence)
#endif
#ifdef NO_LEASE_CHECK
#define LEASE_OK(y) true
#else
#define LEASE_OK(y) (t[y].lease > 0)
#endif
#ifdef UNCHECKED
#define ACCEPTS(y) true
#else
#define ACCEPTS(y) (EPOCH_OK(reqEpoch, y) && FENCE_OK(reqFence, y) && LEASE_OK(y))
#endif
#ifdef NO_DISPATCH_LEASE
#define LEASED(x, y) true
#else
#define LEASED(x, y) (g[x].lease > 0 && g[x].s[y].lease > 0)
#endif
#define MAY_DISPATCH(x, y) (LEASED(x, y) && g[x].s[y].epoch > 0 && !g[x].s[y].lost && g[x].phase == OWNED && g[x].owner == y && g[x].s[y].acked == g[x].fence)

/* The lease in a grant ends on the target's clock; without that rule it is a duration. */
#ifdef NO_TARGET_CLOCK
#define TICK_GRANTS skip
#else
#if SLOTS > 1
#define TICK_GRANTS DEC(t[0].way[0].until); DEC(t[1].way[0].until); DEC(t[0].way[1].until); DEC(t[1].way[1].until)
#else
#define TICK_GRANTS DEC(t[0].way[0].until); DEC(t[1].way[0].until)
#endif
#endif

inline check_serving() {
	highest = MAX(highest, MAX((SERVES(0) -> t[0].fence : 0), (SERVES(1) -> t[1].fence : 0)));
	one_owner_serves = !(SERVES(0) && SERVES(1));
	assert(one_owner_serves)
}

inline new_fence() {
#ifdef NO_NEW_FENCE
	skip
#else
	fence++
#endif
	;
	fences_only_rise = (fence > highest);
	assert(fences_only_rise)
}

/* The gate's lease and view; a session for each target that it is the gate of. */
inline heartbeat(x) {
	held[x] = GATE_LEASE;
	g[x].lease = GATE_LEASE;
	g[x].phase = phase;
	g[x].owner = owner;
	g[x].fence = fence;
	j = 0;
	do
	:: j < 2 && (gateOf[j] != x || g[x].s[j].epoch != epoch[j]) ->
		g[x].s[j].epoch = (gateOf[j] == x -> epoch[j] : 0);
		g[x].s[j].reading = 0;
		g[x].s[j].loss = 0;
		g[x].s[j].lease = 0;
		g[x].s[j].acked = (gateOf[j] == x -> NO_ACK : 0);
		g[x].s[j].lost = 0;
		g[x].s[j].named = 0;
		j++
	:: j < 2 && !(gateOf[j] != x || g[x].s[j].epoch != epoch[j]) -> j++
	:: else -> break
	od;
	j = 0
}

inline send_grant(x, y, w) {
	until = (g[x].lease > 0 && !g[x].s[y].lost -> CAP(x, y) : 0);
	shard = 0;
	if
	:: g[x].owner == y && (g[x].phase == OWNED || (g[x].phase == RELEASING && !(DRAINED(x, y)))) -> shard = g[x].fence
	:: else
	fi;
	g[x].s[y].loss = MAX(g[x].s[y].loss, until);
#ifndef NO_GRANT_WAIT
	g[x].s[y].named = (shard > 0 -> MAX(g[x].s[y].named, until) : g[x].s[y].named);
#endif
	t[y].way[w].epoch = g[x].s[y].epoch;
	t[y].way[w].until = until;
	t[y].way[w].fence = shard;
	t[y].way[w].gate = x;
	until = 0
}

inline drop_grant(y, w) {
	t[y].way[w].epoch = 0;
	t[y].way[w].until = 0;
	t[y].way[w].fence = 0;
	t[y].way[w].gate = 0
}

#if SLOTS > 1
#define OTHER_NAMED(y, w) (t[y].way[1 - (w)].epoch == t[y].way[w].epoch && t[y].way[1 - (w)].fence > 0 -> t[y].way[1 - (w)].until : 0)
#else
#define OTHER_NAMED(y, w) 0
#endif

inline take_grant(y, w) {
	if
	:: EPOCH_OK(t[y].way[w].epoch, y) && ORDER_OK(y, w) ->
		t[y].epoch = MAX(t[y].epoch, t[y].way[w].epoch);
		t[y].fence = t[y].way[w].fence;
#ifdef REPLACE_LEASE
		t[y].lease = t[y].way[w].until;
#else
		t[y].lease = MAX(t[y].lease, t[y].way[w].until);
#endif
		i = t[y].way[w].gate;
		if
		:: g[i].s[y].epoch == t[y].way[w].epoch ->
			g[i].s[y].reading = GRANT_LEASE;
#if REQUESTS
			g[i].s[y].lease = MAX(g[i].s[y].lease, t[y].way[w].until);
#endif
			g[i].s[y].acked = t[y].way[w].fence;
			g[i].s[y].named = OTHER_NAMED(y, w)
		:: else
		fi;
		i = 0
	:: else
	fi;
	drop_grant(y, w);
	check_serving()
}

inline over() {
	request = 0;
	reqGate = 0;
	reqTarget = 0;
	reqEpoch = 0;
	reqFence = 0
}

inline arrive() {
	j = reqTarget;
	if
	:: ACCEPTS(j) ->
		request_runs_at_owner = !SERVES(1 - j);
		assert(request_runs_at_owner);
		fences_only_rise = (reqFence >= highest);
		assert(fences_only_rise)
	:: else
	fi;
	j = 0;
	over()
}

inline dispatch(x, y) {
	request = 1;
	reqGate = x;
	reqTarget = y;
	reqEpoch = g[x].s[y].epoch;
	reqFence = g[x].fence
#ifdef PROMPT
	;
	arrive()
#endif
}

#define TO(y) \
	:: d_step { g[x].s[y].epoch > 0 -> send_grant(x, y, 0) } \
	:: d_step { SLOTS > 1 && g[x].s[y].epoch > 0 && t[y].way[0].epoch > 0 -> send_grant(x, y, SLOTS - 1) } \
	:: d_step { REQUESTS && request == 0 && MAY_DISPATCH(x, y) -> dispatch(x, y) } \
	:: d_step { g[x].s[y].epoch > 0 && !g[x].s[y].lost && LEASE_OVER(x, y) -> g[x].s[y].lost = 1 } \
	:: d_step { g[x].s[y].lost && gateOf[y] == x && epoch[y] == g[x].s[y].epoch -> \
		gateOf[y] = NOBODY; phase = (owner == y -> UNOWNED : phase); owner = (owner == y -> NOBODY : owner) } \
	:: d_step { g[x].s[y].epoch > 0 && phase == RELEASING && owner == y && gateOf[y] == x && g[x].phase == RELEASING && g[x].owner == y && g[x].fence == fence && DRAINED(x, y) && WITHDRAWN(x, y) && NONE_RUNS(x, y) -> \
		phase = UNOWNED; owner = NOBODY }

proctype GateProcess(byte x) {
	do
	:: d_step { true -> heartbeat(x) }
	TO(0)
	TO(1)
	od
}

proctype TargetProcess(byte y) {
	do
	:: d_step { t[y].way[0].epoch > 0 -> take_grant(y, 0) }
	:: d_step { SLOTS > 1 && t[y].way[SLOTS - 1].epoch > 0 -> take_grant(y, SLOTS - 1) }
	od
}

#define GATE_OF(y) \
	:: d_step { gateOf[y] < NOBODY && GATE_OVER(gateOf[y]) && held[1 - gateOf[y]] > 0 && epoch[y] < EPOCHS(y) -> \
		gateOf[y] = 1 - gateOf[y]; epoch[y]++ } \
	:: d_step { gateOf[y] == NOBODY && held[0] > 0 && epoch[y] < EPOCHS(y) -> gateOf[y] = 0; epoch[y]++ } \
	:: d_step { gateOf[y] == NOBODY && held[1] > 0 && epoch[y] < EPOCHS(y) -> gateOf[y] = 1; epoch[y]++ } \
	:: d_step { phase == UNOWNED && gateOf[y] != NOBODY && fence < FENCES -> new_fence(); phase = OWNED; owner = y }

proctype Control() {
	do
	GATE_OF(0)
	GATE_OF(1)
	:: d_step { phase == OWNED -> phase = RELEASING }
	:: d_step { leaders < LEADERS -> leaders++;
#ifdef NO_LEADER_WAIT
		held[0] = 0; held[1] = 0
#else
		held[0] = GATE_LEASE; held[1] = GATE_LEASE
#endif
		}
	/* the request arrives, is lost, or its gate abandons it; then time passes */
	:: d_step { request > 0 -> arrive() }
	:: d_step { request > 0 -> over() }
	:: d_step { request == 1 -> request = 2 }
	:: d_step { true ->
		DEC(held[0]); DEC(held[1]); DEC(g[0].lease); DEC(g[1].lease);
		DEC(g[0].s[0].reading); DEC(g[0].s[1].reading); DEC(g[1].s[0].reading); DEC(g[1].s[1].reading);
		DEC(g[0].s[0].loss); DEC(g[0].s[1].loss); DEC(g[1].s[0].loss); DEC(g[1].s[1].loss);
		DEC(g[0].s[0].lease); DEC(g[0].s[1].lease); DEC(g[1].s[0].lease); DEC(g[1].s[1].lease);
#ifndef NO_GRANT_WAIT
		DEC(g[0].s[0].named); DEC(g[0].s[1].named); DEC(g[1].s[0].named); DEC(g[1].s[1].named);
#endif
		DEC(t[0].lease); DEC(t[1].lease);
		TICK_GRANTS }
	od
}

/* Target 0 has gate 0, target 1 has gate 1, and target 0 gets the key. */
init {
	d_step {
		epoch[0] = 1; epoch[1] = 1; gateOf[0] = 0; gateOf[1] = 1;
		phase = OWNED; owner = 0; fence = 1
	}
	atomic { run GateProcess(0); run GateProcess(1); run TargetProcess(0); run TargetProcess(1); run Control() }
}
