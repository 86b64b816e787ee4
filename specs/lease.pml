/* check: ok */
/* check: ok -DIGNORES_FENCE */
/* check: fault -DNO_FENCE */
/* check: fault -DNO_CONDITION */
/* check: fault -DIGNORES_FENCE -DNO_CHECK */
/* check: fault -DIGNORES_FENCE -DNO_VALIDITY */
/* check: fault -DIGNORES_FENCE -DNO_CORRECTION */
/* check: fault -DIGNORES_FENCE -DSTRICT */

/*
 * Orders to an upstream under a lease, with holders that may be paused or die at any step.
 *
 * Three holders take the lease one after the other. Each writes its order to the table on condition
 * that the lease row is unchanged, reads the lease, and sends the order. Orders may be delayed and
 * cross. An upstream of the checking kind refuses a fencing number below the greatest it has seen.
 * One of the ignoring kind takes every order.
 *
 * Holds for both kinds: the order in the table is never that of an earlier holder.
 * Holds for the checking kind: the upstream never goes back to an earlier holder's order.
 * Holds for the ignoring kind: a holder sends at most one order after it has lost the lease; when
 * everything has come to rest, the upstream carries out the last holder's order where that holder
 * lives, and otherwise either the order of the table or none.
 * What remains for the ignoring kind: an earlier holder's order can be in force until the present
 * holder reads the upstream's state back, or until its validity passes (STRICT shows it).
 *
 * Each define takes one protection out:
 *   NO_FENCE            the checking upstream does not compare fencing numbers
 *   NO_CONDITION        writes to the table are not conditional on the lease row
 *   NO_CHECK            the lease is not read right before an order
 *   NO_VALIDITY         an order stays in force though nobody renews it
 *   NO_CORRECTION       the present holder does not read the upstream's state back
 */

#define HOLDERS 3
#define ORDERS 2                /* orders that one holder sends unasked */

#ifdef NO_CONDITION
#define HELD(number) true
#else
#define HELD(number) (fence == (number))
#endif

byte fence = 0;                 /* fencing number in the lease row */
byte order_row = 0;             /* fencing number of the order in the table */
byte seen = 0;                  /* greatest fencing number that the upstream has seen */
byte in_force = 0;              /* fencing number of the order in force; 0: none */
byte travelling[4];             /* orders on their way, by fencing number */
bool alive[4];                  /* holders that renew their orders */

inline send_order() {
    assert(late_sends == 0);
    if
    :: fence != number -> late_sends++
    :: else
    fi;
    travelling[number]++
}

proctype Holder() {
    byte number;
    byte orders = 0;
    byte late_sends = 0;

    atomic { fence++; number = fence; alive[number] = true }
    atomic {
        if
        :: HELD(number) -> assert(number == fence); order_row = number
        :: else -> goto done
        fi
    }

    do
    :: orders < ORDERS ->
        /* The lease is read right before the order; the holder may be paused in between. */
#ifndef NO_CHECK
        if
        :: fence != number -> goto done
        :: fence == number
        fi;
#endif
        atomic { send_order(); orders++ }
    :: orders == ORDERS -> break
    /* The holder dies. */
    :: true -> goto done
    od;

#ifndef NO_CORRECTION
end_correct:
    do
    :: atomic {
        fence == number && in_force != number && travelling[number] == 0 -> send_order()
       }
    :: fence != number -> goto done
    od;
#else
end_idle:
    (fence != number);
#endif

done:
    atomic { alive[number] = false; number = 0; orders = 0; late_sends = 0 }
}

inline take_order(number) {
    travelling[number]--;
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
    :: atomic { travelling[1] > 0 -> take_order(1) }
    :: atomic { travelling[2] > 0 -> take_order(2) }
    :: atomic { travelling[3] > 0 -> take_order(3) }
#ifndef NO_VALIDITY
    /* Nobody renews the order, and its validity passes. */
    :: atomic { in_force != 0 && !alive[in_force] -> in_force = 0 }
#endif
    od
}

/* When everything has come to rest. */
active proctype Rest() {
    timeout ->
    if
    :: alive[HOLDERS] -> assert(in_force == HOLDERS)
    :: else -> assert(in_force == 0 || in_force == order_row)
    fi
}

init {
    atomic { run Holder(); run Holder(); run Holder() }
}
