/*
 * Elections, commit, lost disks and replacement in the control group.
 * Replicas 0 to 2 are the first incarnations, 3 and 4 return after a lost disk.
 * Every entry carries its term and the membership in force from it on: bits 0 to 4
 * are voters, bits 5 and 6 say whether replicas 3 and 4 are learners.
 * Bounds: TERMS terms, LEN entries, CMDS commands, LOSSES lost disks.
 * The -DNO_... switches each remove one rule.
 */
#ifndef TERMS
#define TERMS 3
#endif
#ifndef LEN
#define LEN 5
#endif
#ifndef CMDS
#define CMDS 1
#endif
#ifndef LOSSES
#define LOSSES 2
#endif
#define N 5
#define NIL 7
#define DOWN 0
#define FOLLOWER 1
#define CANDIDATE 2
#define LEADER 3

typedef Replica {
	byte role;
	byte term;
	byte vote;
	byte grants;
	byte last;
	byte synced;
	byte commit;
	byte et[LEN];
	byte ec[LEN];
	byte match[N]
}
Replica r[N];
byte former[N];			/* the incarnation that replica 3 or 4 replaces */
byte cmds, losses;
byte leaderOf[6];		/* checked: the leader that each term had */
byte ct[LEN], cc[LEN];		/* checked: committed entries */
byte cterm[LEN];		/* checked: the lowest term in which each was committed */
byte clen;

hidden byte k, n, p, q, cfg;
hidden byte ok;
hidden byte one_leader_per_term, committed_entries_kept, blank_replica_never_votes, committed_entries_unchanged, loss_is_survived;

#define BIT(i) (1 << (i))
#define LAST(i) (r[i].last - 1)
#define CFG(i) r[i].ec[LAST(i)]
#define VOTERS(c) ((c) & 31)
#define VOTER(c, i) (((c) & 31) & BIT(i))
#define LEARNER(c, i) ((i) >= 3 && ((c) & BIT((i) + 2)))
#define SIZE(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) + (((m) >> 3) & 1) + (((m) >> 4) & 1))
#ifdef NO_QUORUM
#define QUORUM(c) 1
#else
#define QUORUM(c) (SIZE(VOTERS(c)) / 2 + 1)
#endif
#ifdef NO_SYNC
#define HELD(i) r[i].synced
#else
#define HELD(i) r[i].last
#endif
#ifdef NO_LOG_CHECK
#define AS_NEW(j, i) true
#else
#define AS_NEW(j, i) (r[j].et[LAST(j)] > r[i].et[LAST(i)] || (r[j].et[LAST(j)] == r[i].et[LAST(i)] && r[j].last >= r[i].last))
#endif
#ifdef NO_INCARNATION
#define MAY_VOTE(j, i) (r[i].last == 0 || AS_NEW(j, i))
#else
#define MAY_VOTE(j, i) (r[i].last > 0 && AS_NEW(j, i))
#endif
#define FREE(i, j) (r[i].vote == NIL || r[i].vote == j)
#define OWN_TERM_COMMITTED(j) (r[j].commit > 0 && r[j].et[r[j].commit - 1] == r[j].term)
#ifdef NO_CHANGE_WAIT
#define MAY_CHANGE(j) true
#else
#define MAY_CHANGE(j) (OWN_TERM_COMMITTED(j) && r[j].ec[r[j].commit - 1] == CFG(j))
#endif
#ifdef NO_CATCH_UP
#define CAUGHT_UP(j) true
#else
#define CAUGHT_UP(j) (r[j].match[2 + losses] >= r[j].commit)
#endif
#define REPAIRED (clen > 0 && SIZE(VOTERS(cc[clen - 1])) == 3 && (VOTERS(cc[clen - 1]) & BIT(2 + losses)))

inline follow(i) {
	r[i].role = FOLLOWER;
	r[i].grants = 0;
	r[i].commit = 0;
	k = 0;
	do
	:: k < N -> r[i].match[k] = 0; k++
	:: else -> break
	od;
	k = 0
}

inline append(i, newterm, newcfg) {
	r[i].et[r[i].last] = newterm;
	r[i].ec[r[i].last] = newcfg;
	r[i].last++
}

inline cut(i, size) {
	do
	:: r[i].last > size -> r[i].last--; r[i].et[r[i].last] = 0; r[i].ec[r[i].last] = 0
	:: else -> break
	od;
	if
	:: r[i].synced > r[i].last -> r[i].synced = r[i].last
	:: else
	fi
}

/* Committed entries up to the given term are in the log of replica i. */
inline holds_committed(x, upto) {
	ok = true;
	k = 0;
	do
	:: k < clen ->
		if
		:: cterm[k] <= upto && (r[x].last <= k || r[x].et[k] != ct[k] || r[x].ec[k] != cc[k]) -> ok = false
		:: else
		fi;
		k++
	:: else -> break
	od;
	k = 0
}

inline win(j) {
	one_leader_per_term = (leaderOf[r[j].term] == NIL || leaderOf[r[j].term] == j);
	assert(one_leader_per_term);
	leaderOf[r[j].term] = j;
	holds_committed(j, r[j].term);
	committed_entries_kept = ok;
	assert(committed_entries_kept);
	k = 0;
	do
	:: k < N ->
		if
		:: k < N && (r[j].grants & BIT(k)) && VOTER(CFG(j), k) && r[k].role != DOWN ->
			blank_replica_never_votes = (r[k].last > 0);
			assert(blank_replica_never_votes)
		:: else
		fi;
		k++
	:: else -> break
	od;
	follow(j);
	r[j].role = LEADER;
	if
	:: r[j].last < LEN -> cfg = CFG(j); append(j, r[j].term, cfg)
	:: else
	fi;
	one_leader_per_term = 0; committed_entries_kept = 0; blank_replica_never_votes = 0
}

/* Replica i takes the first entry of leader j that it lacks. */
inline replicate(j, i) {
	if
	:: r[j].term > r[i].term -> r[i].term = r[j].term; r[i].vote = NIL
	:: else
	fi;
	follow(i);
	p = 0;
	do
	:: p < r[j].last && p < r[i].last && r[i].et[p] == r[j].et[p] && r[i].ec[p] == r[j].ec[p] -> p++
	:: else -> break
	od;
	if
	:: p < r[j].last -> cut(i, p); append(i, r[j].et[p], r[j].ec[p]); p++
	:: else
	fi;
	r[j].match[i] = p
}

/* Sets n to the index up to which a majority of the voters of leader j holds its log. */
inline count(j) {
	n = r[j].commit;
	p = n + 1;
	do
	:: p <= r[j].last ->
		q = 0;
		k = 0;
		do
		:: k < N ->
			if
			:: VOTER(CFG(j), k) && ((k == j && HELD(j) >= p) || (k != j && r[j].match[k] >= p)) -> q++
			:: else
			fi;
			k++
		:: else -> break
		od;
		if
		:: q >= QUORUM(CFG(j)) -> n = p
		:: else
		fi;
		p++
	:: else -> break
	od
}

inline commit_to(j, index) {
	r[j].commit = index;
	k = 0;
	do
	:: k < index ->
		if
		:: k >= clen -> ct[k] = r[j].et[k]; cc[k] = r[j].ec[k]; cterm[k] = r[j].term; clen++
		:: else ->
			committed_entries_unchanged = (ct[k] == r[j].et[k] && cc[k] == r[j].ec[k]);
			assert(committed_entries_unchanged);
			committed_entries_unchanged = 0;
			if
			:: cterm[k] > r[j].term -> cterm[k] = r[j].term
			:: else
			fi
		fi;
		k++
	:: else -> break
	od;
	k = 0
}

/* After a tolerated loss the group can make progress: some voter holds everything that was
   committed, and the voters that aren't empty are a majority. */
inline check_loss() {
	q = 0;
	n = 0;
	p = 0;
	do
	:: p < N ->
		if
		:: p < N && r[p].role != DOWN && r[p].last > 0 && VOTER(cc[clen - 1], p) ->
			q++;
			holds_committed(p, TERMS);
			n = n + ok
		:: else
		fi;
		p++
	:: else -> break
	od;
	loss_is_survived = (n > 0 && q >= SIZE(VOTERS(cc[clen - 1])) / 2 + 1);
	assert(loss_is_survived);
	loss_is_survived = 0
}

inline lose_disk(i) {
	follow(i);
	cut(i, 0);
	r[i].term = 0;
	r[i].vote = NIL;
	losses++;
#ifndef NO_INCARNATION
	r[i].role = DOWN;
	former[2 + losses] = i;
	r[2 + losses].role = FOLLOWER;
	check_loss()
#endif
}

#define PEER(j) \
	:: d_step { r[j].role == CANDIDATE && i != j && r[i].role != DOWN && VOTER(CFG(j), i) && MAY_VOTE(j, i) && (r[j].term > r[i].term || (r[j].term == r[i].term && r[i].role == FOLLOWER && FREE(i, j))) && !(r[j].grants & BIT(i)) -> \
		follow(i); r[i].term = r[j].term; r[i].vote = j; r[j].grants = r[j].grants | BIT(i) } \
	:: d_step { r[j].role == LEADER && i != j && r[i].role != DOWN && r[j].term >= r[i].term && (VOTER(CFG(j), i) || LEARNER(CFG(j), i)) && (r[j].match[i] < r[j].last || r[j].term > r[i].term) -> \
		replicate(j, i) }

proctype Process(byte i) {
	do
	/* election timeout */
	:: d_step { (r[i].role == FOLLOWER || r[i].role == CANDIDATE) && r[i].last > 0 && VOTER(CFG(i), i) && r[i].term < TERMS ->
		follow(i); r[i].term++; r[i].vote = i; r[i].role = CANDIDATE; r[i].grants = BIT(i) }
	PEER(0) PEER(1) PEER(2) PEER(3) PEER(4)
	:: d_step { r[i].role == CANDIDATE && SIZE(r[i].grants & VOTERS(CFG(i))) >= QUORUM(CFG(i)) -> win(i) }
	:: d_step { r[i].role == LEADER && r[i].last < LEN && cmds < CMDS -> cmds++; cfg = CFG(i); append(i, r[i].term, cfg) }
	:: d_step { r[i].role == LEADER && r[i].commit < r[i].last -> count(i);
		if
#ifdef NO_OWN_TERM
		:: n > r[i].commit -> commit_to(i, n)
#else
		:: n > r[i].commit && r[i].et[n - 1] == r[i].term -> commit_to(i, n)
#endif
		:: else
		fi }
	/* restart with the disk; entries that weren't synced are gone */
	:: d_step { r[i].role > FOLLOWER -> follow(i);
#ifdef NO_SYNC
		cut(i, r[i].synced)
#endif
		}
#ifdef NO_SYNC
	:: d_step { r[i].role == FOLLOWER && r[i].synced < r[i].last -> cut(i, r[i].synced) }
	:: d_step { r[i].synced < r[i].last -> r[i].synced = r[i].last }
#endif
	/* a disk is lost: the first at any time, the second right after the repair */
	:: d_step { r[i].role != DOWN && r[i].last > 0 && losses < LOSSES && clen > 0 && VOTER(cc[clen - 1], i) && (losses == 0 || REPAIRED) ->
		lose_disk(i) }
	/* replacement of a lost incarnation by a learner, and its promotion */
	:: d_step { r[i].role == LEADER && r[i].last < LEN && MAY_CHANGE(i) && losses > 0 && i != 2 + losses && VOTER(CFG(i), former[2 + losses]) && !VOTER(CFG(i), 2 + losses) && !LEARNER(CFG(i), 2 + losses) ->
		cfg = (CFG(i) & ~BIT(former[2 + losses])) | BIT(losses + 4); append(i, r[i].term, cfg) }
	:: d_step { r[i].role == LEADER && r[i].last < LEN && MAY_CHANGE(i) && losses > 0 && i != 2 + losses && LEARNER(CFG(i), 2 + losses) && CAUGHT_UP(i) ->
		cfg = (CFG(i) & ~BIT(losses + 4)) | BIT(2 + losses); append(i, r[i].term, cfg) }
	od
}

/* The group has formed: all hold the first entry, and replica 0 leads term 1. */
init {
	d_step {
		k = 0;
		do
		:: k < N ->
			r[k].vote = NIL;
			if
			:: k < 3 -> r[k].role = FOLLOWER; r[k].term = 1; r[k].vote = 0; append(k, 1, 7); r[k].synced = 1
			:: else
			fi;
			k++
		:: else -> break
		od;
		k = 0;
		do
		:: k < 6 -> leaderOf[k] = NIL; k++
		:: else -> break
		od;
		leaderOf[1] = 0;
		r[0].role = LEADER;
		r[0].match[1] = 1;
		r[0].match[2] = 1;
		r[0].commit = 1;
		ct[0] = 1;
		cc[0] = 7;
		cterm[0] = 1;
		clen = 1
	}
	atomic { run Process(0); run Process(1); run Process(2); run Process(3); run Process(4) }
}
