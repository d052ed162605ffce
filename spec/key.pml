/* The protocol for a caller's own idempotency key: mint, claim, grant, run,
 * repeat, crash, lost answer.
 *
 * Attempt 0 is the key's first; the others repeat it. Attempt i mints key i at
 * agent i % AGENTS. One claim binds the caller's key to one minted key.
 *
 * Properties: the request runs at most once, and a "not run" that the caller
 * has heard stays true.
 *
 * RERUN, NOTRUN, ASSUME and LOSER each switch on one fault of the protocol; the
 * check must refute every one of them.
 */

#define ATTEMPTS 3
#define AGENTS 2
#define NONE 255

#define unminted 0
#define fresh 1
#define used 2
#define closed 3

byte state[ATTEMPTS];         /* The state of each minted key at its agent. */
bool dead[ATTEMPTS];          /* The key's agent incarnation is gone. */
byte claim = NONE;            /* The minted key that holds the claim. */
byte runs = 0;                /* How often the request has run. */
bool heard_not_run = false;   /* The caller has heard "not run". */
byte started = 0;             /* How many attempts the caller has begun. */
byte reads[ATTEMPTS];

/* Fails if the request runs twice or after "not run" was heard. */
inline execute() {
	runs++;
	assert(runs <= 1);
	assert(!heard_not_run);
}

/* The agent of key k takes a handover, which may come twice. */
inline take(k) {
	atomic {
		if
		:: dead[k] -> skip
#ifdef RERUN
		:: !dead[k] && state[k] != closed -> state[k] = used; execute()
#else
		:: !dead[k] && state[k] == fresh -> state[k] = used; execute()
#endif
		:: else -> skip
		fi
	}
}

/* The caller hears "not run" of an attempt. It hears nothing of the first
 * attempt once it has begun another one. */
inline say_not_run(i) {
	atomic {
		if
		:: i == 0 && started > 1 -> skip
		:: else ->
			heard_not_run = true;
			assert(runs == 0)
		fi
	}
}

/* The router asks the agent of key k to close it, and passes on the result. */
inline close_key(k, i) {
	atomic {
		if
		:: !dead[k] && state[k] == fresh -> state[k] = closed
		:: else -> skip
		fi
	};
	atomic {
		if
		:: !dead[k] && state[k] == closed -> say_not_run(i)
		:: else -> skip       /* Unknown: in use elsewhere, or not reached. */
		fi
	}
}

/* An attempt that is refused speaks of the key, not of itself. */
inline refuse(i, sent) {
#ifdef NOTRUN
	say_not_run(i)
#else
	if
	:: i == 0 && !sent -> say_not_run(i)
	:: else -> skip               /* Unknown: repeat the key. */
	fi
#endif
}

proctype Attempt(byte i) {
	byte winner = NONE;
	bool sent = false;
	bool done = false;

	/* Mint. The router may drop the attempt before. */
	if
	:: refuse(i, sent); done = true
	:: state[i] = fresh
	fi;

	/* Claim with create-if-absent; the answer may be lost. */
	do
	:: done || winner != NONE -> break
	:: else ->
		sent = true;
		if
		:: atomic { claim == NONE -> claim = i; winner = i }
		:: atomic { claim == NONE -> claim = i };       /* Taken, answer lost. */
#ifdef ASSUME
			winner = i
#endif
		:: atomic { claim != NONE -> winner = claim }
#ifdef ASSUME
		:: winner = i                                   /* Lost: believed won. */
#endif
		:: skip                                         /* The call was lost. */
		fi;
		if
		:: winner != NONE -> break
		:: else ->
			/* Read it back; the service may be down. */
			if
			:: atomic { claim != NONE -> winner = claim }
			:: skip
			fi;
			reads[i]++;
			if
			:: winner == NONE && reads[i] >= 2 -> refuse(i, sent); done = true
			:: else -> skip
			fi
		fi
	od;

	/* The loser closes its own key and follows the winner's. */
	if
	:: !done && winner != i ->
#ifdef LOSER
		take(i)
#else
		atomic {
			if
			:: !dead[i] && state[i] == fresh -> state[i] = closed
			:: else -> skip
			fi
		}
#endif
	:: else -> skip
	fi;

	/* Hand over under the winner's key, perhaps twice, or give up and close. */
	if
	:: done -> skip
	:: !done -> take(winner)
	:: !done -> take(winner); take(winner)
	:: !done -> close_key(winner, i)
	fi
}

/* The caller begins its attempts in order: the next one when it pleases, but
 * none after it has heard "not run". */
active proctype Caller() {
	byte i = 0;
	do
	:: i < ATTEMPTS ->
		atomic {
			if
			:: heard_not_run -> break
			:: else -> started++; run Attempt(i); i++
			fi
		}
	:: i > 0 -> break
	:: i >= ATTEMPTS -> break
	od
}

/* Each agent crashes once at any time, the end included. The keys that it has
 * minted are dead from then on. */
active [AGENTS] proctype Crash() {
	byte k = 0;
	byte self = _pid % AGENTS;
	d_step {
		do
		:: k < ATTEMPTS ->
			if
			:: k % AGENTS == self && state[k] != unminted -> dead[k] = true
			:: else -> skip
			fi;
			k++
		:: else -> break
		od;
		k = 0
	}
}
