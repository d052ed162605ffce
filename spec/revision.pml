/* Configuration revisions: compare-and-swap at a store that may return an outdated
 * value, and adoption from the store and from peers.
 *
 * Properties: no process goes back to a lower revision, and no revision number is
 * used for two different documents.
 *
 * BACK and BLIND each introduce one fault. The check must refute both variants.
 */

#define PROCS 3
#define WRITERS 2
#define LAST 4

byte stored = 0;              /* The revision in the store. */
byte before = 0;              /* The previous revision, which a read may return. */
byte author[5];               /* The writer of each revision, 0 for none. */
byte rev[PROCS];              /* The revision in force at each process. */

inline adopt(p, r) {
	atomic {
		old = rev[p];
#ifdef BACK
		rev[p] = r;
#else
		if
		:: r > rev[p] -> rev[p] = r
		:: else -> skip
		fi;
#endif
		assert(rev[p] >= old);
		old = 0
	}
}

/* An operator changes the document through a process. */
active [WRITERS] proctype Writer() {
	byte me = _pid + 1;
	byte seen;
	byte n = 0;
	do
	:: n < 2 ->
		n++;
		if
		:: seen = stored
		:: seen = before
		fi;
		if
		:: seen >= LAST -> skip
		:: else ->
			atomic {
				if
#ifdef BLIND
				:: true ->
#else
				:: stored == seen ->
#endif
					assert(author[seen + 1] == 0 || author[seen + 1] == me);
					before = stored;
					stored = seen + 1;
					author[seen + 1] = me
				:: else -> skip
				fi;
				seen = 0
			}
		fi
	:: n >= 2 -> break
	od
}

/* A process receives a revision from the store or from a peer. */
active [PROCS] proctype Process() {
	byte self = _pid - WRITERS;
	byte n = 0;
	byte got;
	byte old;
	do
	:: n < 2 ->
		n++;
		if
		:: got = stored
		:: got = before
		:: got = rev[0]
		:: got = rev[1]
		:: got = rev[2]
		fi;
		adopt(self, got);
		got = 0
	:: n >= 2 -> break
	od
}
