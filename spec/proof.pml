/* Proofs that a configuration is the newest, as hubs hand them on.
 *
 * A hub asks the store what has changed. From the answer it knows that at the instant at
 * which it asked there was no change after a position. It tells that to a router with
 * the age of that proof, as an answer to a report: the router dates the proof from when
 * it had sent the report, since no clocks are compared and messages may be late. A router
 * that has not got as far as the hub takes no proof. One change is made: a key is
 * withdrawn. Messages may be lost or late; answers of the store may be late; each process
 * may pause between any two steps.
 *
 * Property: no request is admitted by a configuration with the key under a proof of a
 * time after the key was withdrawn. A proof counts for a bounded time, so that a
 * withdrawn key is out of use within that.
 *
 * ARRIVAL, ANSWER, GAP, POSITION and SNAPSHOT each switch on one fault; the check must
 * refute each. NEVER says that no router gets a proof that is younger than the change;
 * the check refutes it, so that there is progress.
 */

#define END 4                 /* When the clock stops. */
#define REPORTS 1

byte now = 1;
bool withdrawn = false;       /* The store's position: before or after the change. */
byte withdrawn_at = 0;

bool hub_position = false;    /* The hub knows the change. */
byte hub_proved = 0;          /* The instant of the hub's proof, 0 for none. */

bool position = false;        /* The router knows the change. */
bool config = false;          /* The router's configuration is without the key. */
byte proved = 0;              /* The instant of the router's proof, 0 for none. */
byte sent[REPORTS + 1];       /* When the router sent its reports. */

chan report = [1] of { byte, bool };            /* Number, position. */
chan total = [2] of { byte, bool, byte, bool }; /* Echo, position, age, news. */

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

/* The hub asks the store, which answers at any time after that. */
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

/* The hub answers reports. */
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
		:: skip                                     /* It is lost. */
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
		:: skip                                     /* It is lost. */
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
		:: skip                                     /* It comes to that later. */
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

/* A caller with the key. */
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
