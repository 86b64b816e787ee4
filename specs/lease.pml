/* check: ok */
/* check: ok -DIGNORES_FENCE */
/* check: fault -DNO_FENCE */
/* check: fault -DNO_CONDITION */
/* check: fault -DIGNORES_FENCE -DNO_CHECK */
/* check: fault -DIGNORES_FENCE -DNO_VALIDITY */
/* check: fault -DIGNORES_FENCE -DNO_CORRECTION */
/* check: fault -DIGNORES_FENCE -DSTRICT */

/*
 * Orders to an upstream under a lease. A holder may be paused or crash at any step.
 *
 * Three holders acquire the lease one after the other. Each writes its order to the table on condition
 * that the lease row is unchanged, reads the lease, and sends the order. Orders may be delayed and
 * reordered. A checking upstream refuses an order whose fencing token is lower than the highest token
 * that it has seen. An ignoring upstream (IGNORES_FENCE) accepts every order.
 *
 * Properties of both kinds: the order in the table is never from an earlier holder.
 * Properties of a checking upstream: it never returns to the order of an earlier holder.
 * Properties of an ignoring upstream: a holder sends at most one order after it has lost the lease.
 * When no further step is possible, the upstream executes the order of the last holder if that holder is
 * alive, and otherwise the order in the table or none.
 * Limitation of an ignoring upstream: the order of an earlier holder can be in force until the current
 * holder reads back the state of the upstream or until the validity of the order expires. STRICT
 * demonstrates this.
 *
 * Each of these defines removes one protection:
 *   NO_FENCE            the checking upstream does not compare fencing tokens
 *   NO_CONDITION        writes to the table are not conditional on the lease row
 *   NO_CHECK            the lease is not read directly before an order is sent
 *   NO_VALIDITY         an order stays in force although it is not renewed
 *   NO_CORRECTION       the current holder does not read back the state of the upstream
 */

#define HOLDERS 3
#define ORDERS 2                /* orders that a holder sends, without corrections */

#ifdef NO_CONDITION
#define HELD(number) true
#else
#define HELD(number) (fence == (number))
#endif

byte fence = 0;                 /* fencing token in the lease row */
byte order_row = 0;             /* fencing token of the order in the table */
byte seen = 0;                  /* highest fencing token that the upstream has seen */
byte in_force = 0;              /* fencing token of the order in force; 0: none */
byte in_transit[4];             /* orders in transit, by fencing token */
bool alive[4];                  /* holders that renew their orders */

inline send_order() {
    assert(sends_after_loss == 0);
    if
    :: fence != number -> sends_after_loss++
    :: else
    fi;
    in_transit[number]++
}

proctype Holder() {
    byte number;
    byte orders = 0;
    byte sends_after_loss = 0;

    atomic { fence++; number = fence; alive[number] = true }
    atomic {
        if
        :: HELD(number) -> assert(number == fence); order_row = number
        :: else -> goto done
        fi
    }

    do
    :: orders < ORDERS ->
        /* The holder reads the lease directly before it sends the order, but may be paused in between. */
#ifndef NO_CHECK
        if
        :: fence != number -> goto done
        :: fence == number
        fi;
#endif
        atomic { send_order(); orders++ }
    :: orders == ORDERS -> break
    /* The holder crashes. */
    :: true -> goto done
    od;

#ifndef NO_CORRECTION
end_correct:
    do
    :: atomic {
        fence == number && in_force != number && in_transit[number] == 0 -> send_order()
       }
    :: fence != number -> goto done
    od;
#else
end_idle:
    (fence != number);
#endif

done:
    atomic { alive[number] = false; number = 0; orders = 0; sends_after_loss = 0 }
}

inline receive_order(number) {
    in_transit[number]--;
#ifndef IGNORES_FENCE
    if
#ifndef NO_FENCE
    :: number < seen -> skip
#endif
    :: else ->
        assert(number >= seen);
        seen = number;
        in_force = number
    fi
#else
#ifdef STRICT
    assert(number >= seen);
#endif
    if
    :: number > seen -> seen = number
    :: else
    fi;
    in_force = number
#endif
}

active proctype Upstream() {
end_upstream:
    do
    :: atomic { in_transit[1] > 0 -> receive_order(1) }
    :: atomic { in_transit[2] > 0 -> receive_order(2) }
    :: atomic { in_transit[3] > 0 -> receive_order(3) }
#ifndef NO_VALIDITY
    /* The order is not renewed, and its validity expires. */
    :: atomic { in_force != 0 && !alive[in_force] -> in_force = 0 }
#endif
    od
}

/* Checks the final state, in which no further step is possible. */
active proctype FinalState() {
    timeout ->
    if
    :: alive[HOLDERS] -> assert(in_force == HOLDERS)
    :: else -> assert(in_force == 0 || in_force == order_row)
    fi
}

init {
    atomic { run Holder(); run Holder(); run Holder() }
}
