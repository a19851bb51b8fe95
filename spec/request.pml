/*
 * Request protocol: callers, the reducer of an instance, attempts bound to connections, and targets.
 *
 * Names follow pkg/core: RequestArrived, SendAttempt, AttemptEnded, Deliver, Refuse and the outcomes NotSent, Refused,
 * Answered and Unknown. A frozen target or instance is a process that is not scheduled; a lost message, a reset and a
 * timeout are all modeled as the choice "the connection ends". A request on a connection that the client closed may
 * still run later.
 *
 * Bounds, two configurations: 1 request with 3 attempts on 2 connections, and 2 requests with 1 attempt each on 1
 * connection. A violation of "at most once" or of "not-run is true" needs one request and two attempts; a wrong answer
 * needs a second request that reuses the connection of the first. Requests share nothing but connections.
 *
 * Each MUT_ define removes one mechanism; the checker must then find a violation (see check.sh).
 */
#ifndef REQUESTS
#define REQUESTS 2
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#ifndef CONNECTIONS
#define CONNECTIONS 2
#endif

mtype = { Once, Lookup };
mtype = { NotSent, Refused, Answered, Unknown };
mtype = { Undecided, ToldAnswer, ToldNotRun, ToldUnknown };

typedef RequestState {
	mtype class = Once;
	mtype told = Undecided;
	byte started;        /* attempts started */
	byte open;           /* attempts without an outcome */
	bool mayHaveRun;     /* an attempt ended without proof that it did not run */
	bool deadline;       /* the deadline has passed */
	byte runs;           /* number of executions on the targets */
};

RequestState r[REQUESTS];

typedef Connection {
	bool busy;
	bool alive;
	byte generation;
};

Connection conn[CONNECTIONS];

chan toTarget[CONNECTIONS] = [4] of { byte, byte };     /* request, generation */
chan fromTarget[CONNECTIONS] = [2] of { byte, bool };   /* request, declared not run */
chan attemptEnded[REQUESTS] = [ATTEMPTS] of { mtype, byte };  /* outcome, request of the answer */

/* Opens a new connection. Unread responses on the old one are discarded. */
inline dial(c) {
	do
	:: fromTarget[c] ? _, _
	:: empty(fromTarget[c]) -> break
	od;
	conn[c].generation++;
	conn[c].alive = true
}

/* One attempt: lease of a connection, deadline check, at most one write, exactly one outcome. */
proctype Attempt(byte q) {
	byte c;
	byte answerOf;
	bool declared;
	bool silent;
	mtype outcome;

	/* Wait for a free connection, at most until the deadline. */
	if
	:: atomic { !conn[0].busy -> conn[0].busy = true; c = 0 }
#if CONNECTIONS > 1
	:: atomic { !conn[1].busy -> conn[1].busy = true; c = 1 }
#endif
	:: r[q].deadline -> attemptEnded[q] ! NotSent, q; goto done
	fi;

	/* Dial when there is no live connection. */
	if
	:: conn[c].alive -> skip
	:: !conn[c].alive -> atomic { dial(c) }
	:: !conn[c].alive -> outcome = NotSent; goto release       /* dial failed */
	fi;

	/* The deadline is checked immediately before the first byte. */
	if
	:: r[q].deadline -> outcome = NotSent; goto release
	:: !r[q].deadline -> toTarget[c] ! q, conn[c].generation
	fi;

receive:
	if
	:: fromTarget[c] ? answerOf, declared
	:: true -> silent = true; goto silence                      /* unresponsive connection: no further data arrives */
	:: true ->                                                  /* reset or timeout */
closed:
#ifndef MUT_REUSE_CONNECTION
		conn[c].alive = false;
#endif
#ifdef MUT_TRANSPORT_RESEND
		/* The connection pool of net/http sends the request again on a new connection. */
		atomic { dial(c) };
		toTarget[c] ! q, conn[c].generation;
		if
		:: fromTarget[c] ? answerOf, declared
		:: true -> conn[c].alive = false; outcome = Unknown; goto release
		fi;
		goto received;
#endif
#ifdef MUT_UNKNOWN_IS_NOT_SENT
		outcome = NotSent; goto release
#else
		outcome = Unknown; goto release
#endif
	fi;

silence:
	if
	:: !silent -> skip
#ifndef MUT_NO_DEADLINE
	:: silent && r[q].deadline -> goto closed
#endif
	fi;

received:
	if
	:: declared -> outcome = Refused
	:: else -> outcome = Answered
	fi;

release:
	conn[c].busy = false;
	attemptEnded[q] ! outcome, answerOf;
done:
	skip
}

/* A target serves one connection; it may run a request long after the client gave up. */
proctype Target(byte c) {
	byte q;
	byte g;
	bool declared;
end:
	do
	:: atomic { toTarget[c] ? q, g ->
		declared = false;
		if
		:: declared = true                                      /* declined as shed, draining or expired: did not run */
		:: r[q].runs++;
			assert(r[q].class != Once || r[q].runs <= 1);       /* at most once */
			assert(r[q].told != ToldNotRun)                     /* not-run stays true */
#ifdef MUT_RELAYED_DECLARATION
		/* The target relays the declaration of a nested call under the same header name. */
		:: r[q].runs++; declared = true
#endif
		fi
	};
	if
	:: atomic { conn[c].alive && conn[c].generation == g && nfull(fromTarget[c]) -> fromTarget[c] ! q, declared }
	:: true -> skip                                             /* the response is lost */
	fi
	od
}

inline sendAttempt(q) {
	r[q].started++;
	r[q].open++;
	run Attempt(q)
}

inline refuse(q) {
	if
	:: r[q].mayHaveRun || r[q].open > 0 -> r[q].told = ToldUnknown
	:: else -> assert(r[q].runs == 0); r[q].told = ToldNotRun
	fi
}

/* The reducer's decisions for one request. */
proctype Reducer(byte q) {
	mtype outcome;
	byte answerOf;

	atomic {
		if
		:: r[q].class = Once
		:: r[q].class = Lookup
		fi;
		sendAttempt(q)
	};
end:
	do
	/* Hedge: idempotent requests only. */
	:: atomic {
#ifdef MUT_HEDGE_ONCE
		r[q].told == Undecided && r[q].started < ATTEMPTS && r[q].open == 1 ->
#else
		r[q].class == Lookup && r[q].told == Undecided && r[q].started < ATTEMPTS && r[q].open == 1 ->
#endif
		sendAttempt(q) }

	:: atomic { attemptEnded[q] ? outcome, answerOf ->
		r[q].open--;
		if
		:: outcome == Answered || outcome == Unknown -> r[q].mayHaveRun = true
		:: else -> skip
		fi;
		if
		:: r[q].told != Undecided -> skip                       /* late outcome, after a response or a refusal */
		:: r[q].told == Undecided && outcome == Answered ->
			assert(answerOf == q);                              /* the response belongs to its request */
			r[q].told = ToldAnswer
		:: r[q].told == Undecided && outcome != Answered ->
			if
#ifdef MUT_RETRY_UNKNOWN
			:: r[q].started < ATTEMPTS && r[q].open == 0 -> sendAttempt(q)
#else
			:: r[q].started < ATTEMPTS && r[q].open == 0 && (r[q].class == Lookup || !r[q].mayHaveRun) -> sendAttempt(q)
#endif
			:: r[q].open == 0 -> refuse(q)                      /* attempts or budget exhausted */
			:: r[q].open > 0 -> skip                            /* another attempt may still get a response */
			fi
		fi }

#ifndef MUT_NO_DEADLINE
	:: atomic { r[q].deadline && r[q].told == Undecided -> refuse(q) }
#endif
	od
}

proctype Clock(byte q) { r[q].deadline = true }

init {
	byte i;
	atomic {
		run Target(0);
#if CONNECTIONS > 1
		run Target(1);
#endif
		i = 0;
		do
		:: i < REQUESTS -> run Reducer(i); run Clock(i); i++
		:: else -> break
		od
	}
}

/* Every request is eventually decided. */
ltl decided { <> (r[0].told != Undecided) }
