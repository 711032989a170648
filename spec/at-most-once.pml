/*
 * One request that must run at most once: a caller sends it through two entry
 * instances up to TRIES times, also after a response. The ledger holds one record for
 * its identity. Commands may be applied late and twice (a proposal is repeated when its
 * reply is lost); bytes to a target may arrive late, after the entry has crashed.
 * Bounds: TRIES tries, GATES changes of the gate, CRASHES crashes, time 0 to END,
 * retention RETAIN. The identity is issued at time 0.
 * The -DNO_... switches each remove one rule.
 */
#ifndef TRIES
#define TRIES 3
#endif
#ifndef GATES
#define GATES 1
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#define END 3
#define RETAIN 1
#define NONE 0

/* the phase of a try at its gate */
#define IDLE 0
#define ASKED 1		/* begin proposed */
#define STARTED 2	/* the ledger replied that this attempt may be sent */
#define SENT 3		/* bytes may have been written */
#define ANSWERED 4	/* the complete response was received */
#define NOT_RUN 5	/* no byte was written, or the target refused this request */
#define LOST 6		/* neither a complete response nor proof that it didn't run */
#define OVER 7

/* the record of the ledger */
#define RUNNING 1
#define DONE 2
#define UNKNOWN 3

/* outcomes for the caller */
#define TOLD_ANSWER 1
#define TOLD_NOT_RUN 2
#define TOLD_UNKNOWN 3

byte now;
byte gate;			/* which instance is the gate */
byte epoch;			/* the target's gate epoch in the control state */
byte crashes;

byte record;			/* state of the ledger's record, NONE if there is none */
byte attempt;			/* the attempt that the record belongs to */
byte answerOf;			/* the attempt whose answer is recorded */
byte lastAttempt;
byte token;			/* the try that began the attempt, from 1 */

typedef Try {
	byte pc;
	byte at;		/* instance */
	byte epoch;		/* the gate epoch in the view of that instance */
	byte attempt;
	bool begin;		/* a begin that may still be applied */
	byte end;		/* a command that may still be applied: DONE, UNKNOWN or NOT_RUN */
	bool bytes;		/* bytes in flight to the target */
	bool reply;		/* a response in flight to the gate */
	bool refusal;		/* a refusal by the target in flight to the gate */
	byte told;
	bool ran
}
Try t[TRIES];
byte tries;
byte runs;			/* checked: how often the request ran */

hidden byte ledger_refusal_is_true, runs_at_most_once, not_run_is_true, resend_gets_recorded_answer;

#ifdef NO_ATTEMPT
#define SAME(x) (record != NONE)
#else
#define SAME(x) (record != NONE && attempt == t[x].attempt)
#endif
#ifdef NO_ISSUE_TIME
#define EXPIRED false
#else
#define EXPIRED (now > RETAIN)
#endif
#define CURRENT(x) (t[x].epoch == epoch && t[x].at == gate)

inline tell(x, outcome) {
	t[x].told = outcome;
	t[x].pc = OVER;
	not_run_is_true = !(outcome == TOLD_NOT_RUN && t[x].ran);
	assert(not_run_is_true)
}

/* The result of a begin, if the try still waits for it. */
inline result(x, started) {
	if
	:: t[x].pc == ASKED && started -> t[x].pc = STARTED; t[x].attempt = attempt
	:: t[x].pc == ASKED && !started && record == DONE ->
		resend_gets_recorded_answer = (answerOf == attempt && runs > 0);
		assert(resend_gets_recorded_answer);
		tell(x, TOLD_ANSWER)
	:: t[x].pc == ASKED && !started && (record == RUNNING || record == UNKNOWN || EXPIRED) -> tell(x, TOLD_UNKNOWN)
	:: t[x].pc == ASKED && !started && record == NONE && !(EXPIRED) ->
		/* stale gate: no other try has run either */
		ledger_refusal_is_true = (runs == 0);
		assert(ledger_refusal_is_true);
		tell(x, TOLD_NOT_RUN)
	:: else
	fi
}

inline start(x) {
	lastAttempt++;
	attempt = lastAttempt;
	token = x + 1;
	record = RUNNING;
	result(x, true)
}

/* A begin that is repeated with the same token gets the same reply as the first one. */
#ifdef NO_TOKEN
#define SAME_SEND(x) (record == RUNNING && t[x].epoch == epoch)
#else
#define SAME_SEND(x) (record == RUNNING && token == x + 1 && t[x].epoch == epoch)
#endif

inline apply_begin(x) {
	if
	:: SAME_SEND(x) -> result(x, true)
#ifdef NO_RUNNING_RULE
	:: record == RUNNING && CURRENT(x) && lastAttempt < 4 -> start(x)
	:: record == RUNNING && !CURRENT(x) -> result(x, false)
	:: record > RUNNING -> result(x, false)
#else
	:: record != NONE && !(SAME_SEND(x)) -> result(x, false)
#endif
	:: record == NONE && !(EXPIRED) && CURRENT(x) && lastAttempt < 4 -> start(x)
	:: record == NONE && !((!(EXPIRED) && CURRENT(x) && lastAttempt < 4)) -> result(x, false)
	:: else
	fi
}

inline apply_end(x) {
	if
	:: SAME(x) && t[x].end == DONE && record != DONE -> record = DONE; answerOf = attempt
	:: SAME(x) && t[x].end == UNKNOWN && record == RUNNING -> record = UNKNOWN
	:: SAME(x) && t[x].end == NOT_RUN && record == RUNNING -> record = NONE; attempt = 0; token = 0
	:: else
	fi
}

proctype Request(byte x) {
	do
	/* the caller sends, or sends again, through some instance; its view may be old */
	:: d_step { t[x].pc == IDLE && tries == x -> tries++; t[x].pc = ASKED; t[x].begin = 1; t[x].at = 0; t[x].epoch = 1 }
	:: d_step { t[x].pc == IDLE && tries == x && epoch > 1 -> tries++; t[x].pc = ASKED; t[x].begin = 1; t[x].at = 1; t[x].epoch = epoch }
#ifdef NO_BEGIN
	:: d_step { t[x].pc == ASKED -> t[x].pc = STARTED; t[x].begin = 0 }
#endif
	/* the begin is applied, possibly a second time, or lost */
	:: d_step { t[x].begin -> apply_begin(x) }
	:: d_step { t[x].begin -> t[x].begin = 0 }
	/* no reply from the ledger: nothing was sent */
	:: d_step { t[x].pc == ASKED -> tell(x, TOLD_NOT_RUN) }
	/* sent, or abandoned before the first byte */
	:: d_step { t[x].pc == STARTED -> t[x].pc = SENT; t[x].bytes = 1 }
	:: d_step { t[x].pc == STARTED -> t[x].pc = NOT_RUN }
	/* the target runs the request, refuses it, or the bytes are lost */
	:: d_step { t[x].bytes -> t[x].bytes = 0; t[x].ran = 1; runs++; runs_at_most_once = (runs <= 1); assert(runs_at_most_once);
		not_run_is_true = (t[x].told != TOLD_NOT_RUN); assert(not_run_is_true); t[x].reply = 1 }
	:: d_step { t[x].bytes -> t[x].bytes = 0; t[x].refusal = 1 }
	:: d_step { t[x].bytes -> t[x].bytes = 0 }
	/* the gate receives a response or a refusal, or neither */
	:: d_step { t[x].reply -> t[x].reply = 0;
		if
		:: t[x].pc == SENT -> t[x].pc = ANSWERED
		:: else
		fi }
	:: d_step { t[x].refusal -> t[x].refusal = 0;
		if
		:: t[x].pc == SENT -> t[x].pc = NOT_RUN
		:: else
		fi }
#ifdef NO_BYTES_RULE
	:: d_step { t[x].pc == SENT -> t[x].pc = NOT_RUN }
#else
	:: d_step { t[x].pc == SENT -> t[x].pc = LOST }
#endif
	/* the gate proposes to record the outcome and responds; recording may fail or be late */
	:: d_step { t[x].pc == ANSWERED -> t[x].end = DONE; tell(x, TOLD_ANSWER) }
	:: d_step { t[x].pc == NOT_RUN -> t[x].end = NOT_RUN; tell(x, TOLD_NOT_RUN) }
#ifdef NO_WHOLE_ANSWER
	:: d_step { t[x].pc == LOST -> t[x].end = DONE; tell(x, TOLD_UNKNOWN) }
#else
	:: d_step { t[x].pc == LOST -> t[x].end = UNKNOWN; tell(x, TOLD_UNKNOWN) }
#endif
	:: d_step { t[x].end != 0 -> apply_end(x) }
	:: d_step { t[x].end != 0 -> t[x].end = 0 }
	/* the instance crashes; what it sent stays in flight, and the caller gets no response */
	:: d_step { t[x].pc > IDLE && t[x].pc < OVER && crashes < CRASHES -> crashes++; t[x].pc = OVER; t[x].told = TOLD_UNKNOWN }
	od
}

proctype World() {
	do
	:: d_step { now < END -> now++ }
	:: d_step { epoch <= GATES -> epoch++; gate = 1 - gate }
	/* expiry of the ledger */
	:: d_step { record != NONE && now > RETAIN -> record = NONE; attempt = 0; token = 0; answerOf = 0 }
	od
}

init {
	d_step { epoch = 1; lastAttempt = 0 }
	atomic { run Request(0); run Request(1); run Request(2); run World() }
}
