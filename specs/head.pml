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
#define SENDS 2
#define RESTARTS 2

#define WRITTEN 1
#define REFUSED 2
#define NOT_KNOWN 3

byte head = FIRST;
byte writer[LAST + 1];
byte told[OPERATORS];
byte claimed[OPERATORS];
/* Base revision of the delayed transaction of each operator; 0: none. */
byte delayed[OPERATORS];
byte restarts = 0;
byte revision[DAEMONS];

/* The table executes a transaction. */
inline commit(operator, base, took) {
    if
#ifdef NO_CONDITION
    :: base < LAST -> head = base + 1; writer[head] = operator + 1; took = true
    :: else -> took = false
#else
    :: head == base && base < LAST -> head = base + 1; writer[head] = operator + 1; took = true
    :: else -> took = false
#endif
    fi
}

proctype Operator(byte me) {
    byte base;
    byte sends = 0;
    bool took;
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
           commit(me, base, took);
           if
           :: took -> claimed[me] = base + 1; told[me] = WRITTEN
           :: else
           fi
       };
       if
       :: told[me] == WRITTEN -> goto done
       :: else -> goto read_back
       fi
    :: true;
       atomic { commit(me, base, took); is_lost = true }
    :: is_lost = true
    :: atomic { delayed[me] == 0 -> delayed[me] = base; is_lost = true }
    fi;

read_back:
    atomic {
        if
#ifdef NO_READ_BACK
        :: !took -> told[me] = REFUSED; goto done
#endif
        :: writer[base + 1] == me + 1 -> claimed[me] = base + 1; told[me] = WRITTEN
        :: writer[base + 1] != 0 && writer[base + 1] != me + 1 -> told[me] = REFUSED; goto done
        :: writer[base + 1] == 0 && sends < SENDS -> goto send
        /* The table no longer responds. */
        :: is_lost -> told[me] = NOT_KNOWN; goto done
        fi
    };

done:
    skip
}

/* A delayed transaction may reach the table at any time. */
active proctype Network() {
    bool took;
end:
    do
    :: atomic { delayed[0] != 0 -> commit(0, delayed[0], took); delayed[0] = 0 }
    :: atomic { delayed[1] != 0 -> commit(1, delayed[1], took); delayed[1] = 0 }
    od
}

inline take() {
    if
#ifdef GO_BACK
    :: true -> revision[me] = got
#else
    :: got > revision[me] -> revision[me] = got
    :: else
#endif
    fi
}

proctype Daemon(byte me) {
    byte got;
    byte last = 0;

end:
    do
    /* The daemon reads the head from the table; the response takes time. */
    :: atomic { got == 0 && head != FIRST -> got = head }
    /* The daemon reads the revision of the other daemon; the response takes time. */
    :: atomic { got == 0 && revision[1 - me] != 0 -> got = revision[1 - me] }
    /* The response is received. */
    :: atomic {
           got != 0 -> take();
           assert(revision[me] >= last);
           last = revision[me];
           got = 0
       }
    /* A response with a newer revision overtakes this one. */
    :: atomic {
           got != 0 && head > got ->
           revision[me] = head;
           last = head
       }
    /* The daemon restarts without any state. */
    :: atomic {
           restarts < RESTARTS -> restarts++;
           revision[me] = 0; last = 0; got = 0
       }
    od
}

/* Checks the properties of the operators in every state. */
active proctype Monitor() {
end:
    do
    :: atomic { told[0] == WRITTEN && writer[claimed[0]] != 1 -> assert(false) }
    :: atomic { told[1] == WRITTEN && writer[claimed[1]] != 2 -> assert(false) }
    :: atomic { told[0] == REFUSED && (writer[2] == 1 || writer[3] == 1) -> assert(false) }
    :: atomic { told[1] == REFUSED && (writer[2] == 2 || writer[3] == 2) -> assert(false) }
    od
}

init {
    atomic {
        run Daemon(0); run Daemon(1);
        run Operator(0); run Operator(1)
    }
}
