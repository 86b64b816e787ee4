/* check: ok */
/* check: fault -DNO_CONDITION */
/* check: fault -DNO_READ_BACK */
/* check: fault -DGO_BACK */
/*
 * The head of the records: operators that race, answers that are lost, writes that are delayed,
 * and daemons that take revisions from the table or from one another, late and crossed. When a
 * written change is accepted is in in_force.pml.
 *
 * Proved: an operator that is told WRITTEN or REFUSED is told the truth, also once every delayed
 * write has reached the table; no written change is lost; no daemon goes back within its life.
 *
 * Each define takes one protection out:
 *   NO_CONDITION     the write of the head is not conditional on the row that was read
 *   NO_READ_BACK     a refusal or a lost answer is taken for a lost race without reading back
 *   GO_BACK          a daemon takes any revision that it is sent
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
/* Delayed transactions by the base that they are conditional on; 0 is none. */
byte delayed[OPERATORS];
byte restarts = 0;
byte revision[DAEMONS];

/* The table carries out a transaction. */
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
        /* The table does not answer any more. */
        :: is_lost -> told[me] = NOT_KNOWN; goto done
        fi
    };

done:
    skip
}

/* Delayed transactions reach the table at any time. */
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
    /* From the table, as it was when it was read. */
    :: atomic { got == 0 && head != FIRST -> got = head }
    /* From the other daemon, as it was when it answered. */
    :: atomic { got == 0 && revision[1 - me] != 0 -> got = revision[1 - me] }
    /* The answer arrives. */
    :: atomic {
           got != 0 -> take();
           assert(revision[me] >= last);
           last = revision[me];
           got = 0
       }
    /* Another answer, which was made before, arrives in between. */
    :: atomic {
           got != 0 && head > got ->
           revision[me] = head;
           last = head
       }
    /* It starts anew and knows nothing. */
    :: atomic {
           restarts < RESTARTS -> restarts++;
           revision[me] = 0; last = 0; got = 0
       }
    od
}

/* What must hold, checked in every state. */
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
