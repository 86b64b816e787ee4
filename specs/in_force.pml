/* check: ok */
/* check: fault -DNO_REGISTRATION */
/* check: fault -DNO_KNOWN */
/* check: fault -DNO_LIFE */
/* check: fault -DNO_QUIET */
/*
 * Acceptance of a written change: the operator surveys daemons until every daemon that any daemon knows
 * serves by the change. Daemons receive revisions from the table or from each other, and may restart
 * without any state. The table may be unavailable at any time, and no step of a daemon requires it.
 * head.pml models how the change is written.
 *
 * Property: once the change is accepted, no daemon serves by an older revision, also after a restart.
 *
 * Each define removes one protection:
 *   NO_REGISTRATION  a starting daemon receives a revision from a peer that does not register it
 *   NO_KNOWN         the operator surveys only the daemons in the platform's list
 *   NO_LIFE          the operator does not survey a daemon again that restarted after its response
 *   NO_QUIET         a restarted daemon reports immediately, before updates on the daemons that ran at
 *                    its start can have reached it
 */

#define DAEMONS 3
#define FIRST 1
#define MAX_RESTARTS 2
/* The platform's list is stale: it has only daemon 0. */
#define IS_LISTED(daemon) (daemon == 0)

/* Incarnation of a daemon that another daemon (the holder) knows; 0: none. */
#define KNOWN(holder, daemon) known[(holder) * DAEMONS + (daemon)]
/* Incarnation of a daemon that ran when the holder started. */
#define AWAITS(holder, daemon) awaits[(holder) * DAEMONS + (daemon)]

byte head = FIRST;
byte accepted = FIRST;
byte restarts = 0;

bool up[DAEMONS];
bool absent[DAEMONS];
byte revision[DAEMONS];
byte incarnation[DAEMONS];
byte known[DAEMONS * DAEMONS];
byte awaits[DAEMONS * DAEMONS];

/* The holder learns an incarnation of a daemon, if it is later than the known one. */
inline learn(holder, daemon, reported) {
    if
    :: reported > KNOWN(holder, daemon) -> KNOWN(holder, daemon) = reported
    :: else
    fi
}

/*
 * A restarted daemon does not report until updates on every daemon that ran at its start can have
 * reached it.
 */
#ifdef NO_QUIET
#define REPORTS(daemon) true
#else
#define REPORTS(daemon) (KNOWN(daemon, 0) >= AWAITS(daemon, 0) \
    && KNOWN(daemon, 1) >= AWAITS(daemon, 1) && KNOWN(daemon, 2) >= AWAITS(daemon, 2))
#endif

#ifdef NO_LIFE
#define SURVEYED_INCARNATION 255
#else
#define SURVEYED_INCARNATION incarnation[daemon]
#endif

active proctype Operator() {
    byte surveyed[DAEMONS];
    byte found[DAEMONS];
    byte daemon;
    byte other;

    atomic { head == FIRST; head = FIRST + 1 };
    found[0] = 1;
    do
    :: atomic {
           found[0] <= surveyed[0] && found[1] <= surveyed[1] && found[2] <= surveyed[2] -> break
       }
    :: atomic {
           else ->
           daemon = 0;
           do
           :: found[daemon] <= surveyed[daemon] -> daemon++
           :: else -> break
           od
       };
end_surveying:
        atomic {
            up[daemon] && revision[daemon] > FIRST && REPORTS(daemon);
            surveyed[daemon] = SURVEYED_INCARNATION;
#ifndef NO_KNOWN
            other = 0;
            do
            :: other == DAEMONS -> break
            :: other < DAEMONS && KNOWN(daemon, other) > found[other] ->
               found[other] = KNOWN(daemon, other);
               other++
            :: else -> other++
            od;
            other = 0;
#endif
            daemon = 0
        }
    od;
    accepted = FIRST + 1
}

inline await(daemon) {
    if
    :: daemon != me && !absent[daemon] -> AWAITS(me, daemon) = incarnation[daemon]
    :: else
    fi
}

inline accept() {
    if
    :: received > revision[me] -> revision[me] = received
    :: else
    fi
}

proctype Daemon(byte me) {
    byte peer;
    byte received;

    if
    :: up[me] -> goto end_serving
    :: else
    fi;

    /* The daemon registers with a serving daemon and learns the daemons that this peer knows. */
end_joining:
    atomic {
        if
        :: up[0] && me != 0 -> peer = 0
        :: up[1] && me != 1 -> peer = 1
        :: up[2] && me != 2 -> peer = 2
        fi;
        absent[me] = false;
        incarnation[me]++;
#ifndef NO_REGISTRATION
        learn(peer, me, incarnation[me]);
#endif
        learn(me, 0, KNOWN(peer, 0));
        learn(me, 1, KNOWN(peer, 1));
        learn(me, 2, KNOWN(peer, 2));
        learn(me, peer, incarnation[peer]);
        peer = 0
    };
    /* Then the daemon requests a revision; the response takes time. */
    if
    :: received = head
    :: atomic {
           if
           :: up[0] && me != 0 -> peer = 0
           :: up[1] && me != 1 -> peer = 1
           :: up[2] && me != 2 -> peer = 2
           fi;
#ifndef NO_REGISTRATION
           learn(peer, me, incarnation[me]);
#endif
           received = revision[peer];
           peer = 0
       }
    fi;
    atomic { revision[me] = received; up[me] = true; received = 0; peer = 0 };

end_serving:
    do
    /* The daemon reads a revision from the table. */
    :: revision[me] < head -> received = head;
       atomic { accept(); received = 0; peer = 0 }
    /* The daemon receives a revision from a peer. */
    :: atomic {
           if
           :: up[0] && revision[0] > revision[me] -> peer = 0
           :: up[1] && revision[1] > revision[me] -> peer = 1
           :: up[2] && revision[2] > revision[me] -> peer = 2
           fi;
           received = revision[peer]
       };
       atomic { accept(); received = 0; peer = 0 }
    /* Messages between two daemons register both with each other again. */
    :: atomic {
           if
           :: me != 0 && up[0] && KNOWN(0, me) != incarnation[me] -> peer = 0
           :: me != 1 && up[1] && KNOWN(1, me) != incarnation[me] -> peer = 1
           :: me != 2 && up[2] && KNOWN(2, me) != incarnation[me] -> peer = 2
           fi;
#ifndef NO_REGISTRATION
           learn(peer, me, incarnation[me]);
#endif
           learn(me, peer, incarnation[peer]);
           peer = 0
       }
    /* The daemon restarts without any state. */
    :: atomic {
           restarts < MAX_RESTARTS -> restarts++;
           up[me] = false; absent[me] = true; revision[me] = 0; received = 0; peer = 0;
           KNOWN(me, 0) = 0; KNOWN(me, 1) = 0; KNOWN(me, 2) = 0;
           await(0); await(1); await(2)
       };
       goto end_joining
    od
}

/* Checks the property in every state. */
active proctype Monitor() {
end:
    do
    :: atomic { up[0] && revision[0] < accepted -> assert(false) }
    :: atomic { up[1] && revision[1] < accepted -> assert(false) }
    :: atomic { up[2] && revision[2] < accepted -> assert(false) }
    od
}

init {
    atomic {
        up[0] = true; revision[0] = FIRST; incarnation[0] = 1;
        absent[1] = true; absent[2] = true;
        run Daemon(0); run Daemon(1); run Daemon(2)
    }
}
