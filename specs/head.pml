/* check: ok */
/* check: fault -DNO_CONDITION */
/* check: fault -DNO_READ_BACK */
/* check: fault -DGO_BACK */
/*
 * Changes of the head of the records: concurrent operators, lost responses, delayed writes, and daemons
 * that receive revisions from the table or from each other, late and out of order. in_force.pml models
 * when a written change is accepted.
 *
 * Properties: an outcome WRITTEN or REFUSED that is reported to an operator is correct, also after every
 * delayed write has reached the table; no written change is lost; the revision of a daemon does not
 * decrease during one incarnation.
 *
 * Each define removes one protection:
 *   NO_CONDITION     the write of the head is not conditional on the row that was read
 *   NO_READ_BACK     a refusal or a lost response is treated as a conflict without reading the row
 *   GO_BACK          a daemon accepts any revision that it receives, also an older one
 */

#define OPERATORS 2
#define DAEMONS 2
#define FIRST 1
#define LAST 3
#define MAX_SENDS 2
#define MAX_RESTARTS 2

#define WRITTEN 1
#define REFUSED 2
#define UNKNOWN 3

byte head = FIRST;
byte writer[LAST + 1];
byte outcome[OPERATORS];
byte written_revision[OPERATORS];
/* Base revision of the delayed transaction of each operator; 0: none. */
byte delayed[OPERATORS];
byte restarts = 0;
byte revision[DAEMONS];

/* The table executes a transaction. */
inline commit(operator, base, is_committed) {
    if
#ifdef NO_CONDITION
    :: base < LAST -> head = base + 1; writer[head] = operator + 1; is_committed = true
    :: else -> is_committed = false
#else
    :: head == base && base < LAST -> head = base + 1; writer[head] = operator + 1; is_committed = true
    :: else -> is_committed = false
#endif
    fi
}

proctype Operator(byte me) {
    byte base;
    byte sends = 0;
    bool is_committed;
    bool is_lost = false;

    base = head;
    if
    :: base == LAST -> goto done
    :: else
    fi;

send:
    sends++;
    if
    :: true;
       atomic {
           commit(me, base, is_committed);
           if
           :: is_committed -> written_revision[me] = base + 1; outcome[me] = WRITTEN
           :: else
           fi
       };
       if
       :: outcome[me] == WRITTEN -> goto done
       :: else -> goto read_back
       fi
    :: true;
       atomic { commit(me, base, is_committed); is_lost = true }
    :: is_lost = true
    :: atomic { delayed[me] == 0 -> delayed[me] = base; is_lost = true }
    fi;

read_back:
    atomic {
        if
#ifdef NO_READ_BACK
        :: !is_committed -> outcome[me] = REFUSED; goto done
#endif
        :: writer[base + 1] == me + 1 -> written_revision[me] = base + 1; outcome[me] = WRITTEN
        :: writer[base + 1] != 0 && writer[base + 1] != me + 1 -> outcome[me] = REFUSED; goto done
        :: writer[base + 1] == 0 && sends < MAX_SENDS -> goto send
        /* The table no longer responds. */
        :: is_lost -> outcome[me] = UNKNOWN; goto done
        fi
    };

done:
    skip
}

/* A delayed transaction may reach the table at any time. */
active proctype Network() {
    bool is_committed;
end:
    do
    :: atomic { delayed[0] != 0 -> commit(0, delayed[0], is_committed); delayed[0] = 0 }
    :: atomic { delayed[1] != 0 -> commit(1, delayed[1], is_committed); delayed[1] = 0 }
    od
}

inline accept() {
    if
#ifdef GO_BACK
    :: true -> revision[me] = received
#else
    :: received > revision[me] -> revision[me] = received
    :: else
#endif
    fi
}

proctype Daemon(byte me) {
    byte received;
    byte last = 0;

end:
    do
    /* The daemon reads the head from the table; the response takes time. */
    :: atomic { received == 0 && head != FIRST -> received = head }
    /* The daemon reads the revision of the other daemon; the response takes time. */
    :: atomic { received == 0 && revision[1 - me] != 0 -> received = revision[1 - me] }
    /* The response is received. */
    :: atomic {
           received != 0 -> accept();
           assert(revision[me] >= last);
           last = revision[me];
           received = 0
       }
    /* A response with a newer revision overtakes this one. */
    :: atomic {
           received != 0 && head > received ->
           revision[me] = head;
           last = head
       }
    /* The daemon restarts without any state. */
    :: atomic {
           restarts < MAX_RESTARTS -> restarts++;
           revision[me] = 0; last = 0; received = 0
       }
    od
}

/* Checks the properties of the operators in every state. */
active proctype Monitor() {
end:
    do
    :: atomic { outcome[0] == WRITTEN && writer[written_revision[0]] != 1 -> assert(false) }
    :: atomic { outcome[1] == WRITTEN && writer[written_revision[1]] != 2 -> assert(false) }
    :: atomic { outcome[0] == REFUSED && (writer[2] == 1 || writer[3] == 1) -> assert(false) }
    :: atomic { outcome[1] == REFUSED && (writer[2] == 2 || writer[3] == 2) -> assert(false) }
    od
}

init {
    atomic {
        run Daemon(0); run Daemon(1);
        run Operator(0); run Operator(1)
    }
}
