/* Freshness proofs of the configuration, passed on by a hub.
 *
 * A freshness proof is an instant at which a configuration is known to have been the
 * newest. A hub asks the store for changes. The answer proves that at the instant of the
 * question there was no change after the position in the answer. The hub sends its
 * position and the age of its proof to a router in reply to the router's report. The
 * router dates the proof back by that age from the instant at which it sent the report,
 * because clocks are not compared between processes and messages may be late. A router
 * that has not reached the hub's position accepts no proof. There is one change: a key is
 * withdrawn. Messages may be lost or late, answers of the store may be late, and each
 * process may pause between any two steps.
 *
 * Property: no request is admitted by a configuration that still has the key under a
 * proof from after the withdrawal. A proof is valid for a bounded time, so a withdrawn
 * key is out of use within that time.
 *
 * ARRIVAL, ANSWER, GAP, POSITION and SNAPSHOT each introduce one fault. The check must
 * refute each of these variants. NEVER asserts that no router gets a proof from after the
 * change. The check must refute that too, which shows that the protocol makes progress.
 */

#define END 4                 /* The instant at which the clock stops. */
#define REPORTS 1             /* How many reports the router sends. */

byte now = 1;
bool withdrawn = false;       /* The store's position: set after the change. */
byte withdrawn_at = 0;        /* The instant of the change. */

bool hub_position = false;    /* The hub's position: set once it knows the change. */
byte hub_proved = 0;          /* The instant of the hub's proof, 0 for none. */

bool position = false;        /* The router's position: set once it has the change. */
bool config = false;          /* The router's configuration no longer has the key. */
byte proved = 0;              /* The instant of the router's proof, 0 for none. */
byte sent[REPORTS + 1];       /* The instant at which the router sent each report. */

chan report = [1] of { byte, bool };            /* Report number, position. */
chan total = [2] of { byte, bool, byte, bool }; /* Report number, position, age, news. */

/* Raises v to the given value unless it is higher already. */
#define raise(v, to) atomic { if :: to > v -> v = to :: else -> skip fi }

active proctype Clock() {
	do
	:: now < END -> now++
	:: now == END -> break
	od
}

active proctype Operator() {
	atomic { withdrawn = true; withdrawn_at = now }
}

/* The hub asks the store, which answers at any later time. */
active proctype HubFollows() {
	byte asked;
	bool answer;
	byte n = 0;
	do
	:: n < 2 ->
		n++;
		asked = now;
		answer = withdrawn;
#ifdef ANSWER
		asked = now;
#endif
		if
		:: answer -> hub_position = true
		:: else -> skip
		fi;
		raise(hub_proved, asked)
	:: n == 2 -> break
	od
}

/* The hub replies to the router's reports. */
active proctype HubTells() {
	byte number;
	bool reached, p, news;
	byte proof, at;
	do
	:: report ? number, reached ->
		at = now;
#ifdef POSITION
		p = hub_position;
		proof = hub_proved;
#else
		proof = hub_proved;
		p = hub_position;
#endif
		news = hub_position && !reached;
		if
		:: proof > 0 && proof <= at && nfull(total) -> total ! number, p, at - proof, news
		:: skip                                     /* The reply is lost. */
		fi
	:: timeout -> break
	od
}

active proctype RouterReports() {
	byte n = 0;
	do
	:: n < REPORTS ->
		n++;
		sent[n] = now;
		if
		:: nfull(report) -> report ! n, position
		:: skip                                     /* The report is lost. */
		fi
	:: n == REPORTS -> break
	od
}

active proctype RouterHears() {
	byte echo, age, since;
	bool p, news;
	do
	:: total ? echo, p, age, news ->
		if
		:: news -> config = true; position = true
		:: skip                                     /* The router applies the change later. */
		fi;
#ifdef ARRIVAL
		since = now;
#else
		since = sent[echo];
#endif
		if
#ifdef GAP
		:: age < since -> raise(proved, since - age)
#else
		:: age < since && (position || !p) -> raise(proved, since - age)
#endif
		:: else -> skip
		fi
	:: timeout -> break
	od
}

/* A request of a caller with the key. */
active proctype Request() {
	byte proof;
	bool c;
#ifdef SNAPSHOT
	c = config;
	proof = proved;
#else
	proof = proved;
	c = config;
#endif
	assert(c || !withdrawn || proof <= withdrawn_at);
#ifdef NEVER
	assert(!withdrawn || proof <= withdrawn_at)
#endif
}
