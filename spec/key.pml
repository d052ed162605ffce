/* The protocol for an idempotency key that the caller generated: mint, claim,
 * handover, run, repeat, crash, lost answer.
 *
 * Attempt 0 is the first attempt under the key; the others repeat it. Attempt i
 * mints key i at agent i % AGENTS. The claim binds the caller's key to one minted
 * key.
 *
 * Properties: the request runs at most once, and a "not run" that the caller has
 * received is true and stays true.
 *
 * RERUN, NOTRUN, ASSUME and LOSER each introduce one fault into the protocol. The
 * check must refute each of these variants.
 */

#define ATTEMPTS 3
#define AGENTS 2
#define NONE 255

#define unminted 0
#define fresh 1
#define used 2
#define closed 3

byte state[ATTEMPTS];         /* The state of each minted key at its agent. */
bool dead[ATTEMPTS];          /* The incarnation that minted the key is gone. */
byte claim = NONE;            /* The minted key that holds the claim. */
byte runs = 0;                /* How often the request has run. */
bool heard_not_run = false;   /* The caller has received "not run". */
byte started = 0;             /* How many attempts the caller has begun. */
byte reads[ATTEMPTS];         /* How often each attempt has read the claim. */

/* Runs the request. Fails if it runs twice or after "not run" was received. */
inline execute() {
	runs++;
	assert(runs <= 1);
	assert(!heard_not_run);
}

/* Delivers a handover to the agent of key k. It may arrive twice. */
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

/* The caller receives "not run" from attempt i. It receives nothing from the
 * first attempt once it has begun another one. */
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

/* The router of attempt i asks the agent of key k to close it and returns the
 * result to the caller. */
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
		:: else -> skip       /* Unknown: the key is in use or its agent is gone. */
		fi
	}
}

/* Ends an attempt that has run nothing. The outcome is that of the key, not that
 * of the attempt: "not run" only if no other attempt can have run it. */
inline refuse(i, sent) {
#ifdef NOTRUN
	say_not_run(i)
#else
	if
	:: i == 0 && !sent -> say_not_run(i)
	:: else -> skip               /* Unknown: the caller repeats the key. */
	fi
#endif
}

proctype Attempt(byte i) {
	byte winner = NONE;
	bool sent = false;
	bool done = false;

	/* Mint a key. The router may refuse the attempt before that. */
	if
	:: refuse(i, sent); done = true
	:: state[i] = fresh
	fi;

	/* Create the claim if it is absent. The answer may be lost. */
	do
	:: done || winner != NONE -> break
	:: else ->
		sent = true;
		if
		:: atomic { claim == NONE -> claim = i; winner = i }
		:: atomic { claim == NONE -> claim = i };       /* Created, answer lost. */
#ifdef ASSUME
			winner = i
#endif
		:: atomic { claim != NONE -> winner = claim }
#ifdef ASSUME
		:: winner = i                                   /* A lost answer taken for success. */
#endif
		:: skip                                         /* The call was lost. */
		fi;
		if
		:: winner != NONE -> break
		:: else ->
			/* Read the claim. The service may be down. */
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

	/* An attempt that lost the claim closes its own key and follows the winner's. */
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

	/* Hand the request over under the winner's key, once or twice, or close that
	 * key. */
	if
	:: done -> skip
	:: !done -> take(winner)
	:: !done -> take(winner); take(winner)
	:: !done -> close_key(winner, i)
	fi
}

/* The caller begins its attempts in order, the next one at any time, but none after
 * it has received "not run". */
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

/* Each agent crashes once, at any time or after everything else. The keys that it
 * minted before are dead from then on. */
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
