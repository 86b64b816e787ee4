/* check: ok */
/* check: fault -DNO_DECISION */
/* check: fault -DNO_CONDITION */
/* check: fault -DSENDS_OWN */
/* check: fault -DSENDS_UNREAD */

/*
 * The usage report of one window (crates/gateway/src/duties.rs, decide_report), sent by two daemons
 * that both assume that they hold the duty lease. Each daemon has its own counts, which may increase.
 *
 * A daemon writes its counts to the row of the window if the row does not exist, and reads the row if
 * the write is refused. Responses may be lost, writes may take effect late, reads may be stale, and
 * daemons may be killed and restarted at any step. A report may reach the cloud twice.
 *
 * Property: the cloud never accepts two reports with different counts.
 *
 * Each define removes one protection:
 *   NO_DECISION         the report is sent without a row
 *   NO_CONDITION        the row is written even if it exists
 *   SENDS_OWN           after a refused write, the daemon sends its own counts
 *   SENDS_UNREAD        after a lost response, the daemon sends its own counts without reading the row
 */

#define NONE 0                  /* no row, or no report */
#define MAX_RESTARTS 2

byte row = NONE;                /* counts in the row of the window */
byte accepted = NONE;           /* counts of the first report that the cloud accepted */
byte delayed_write = NONE;      /* counts of a delayed write that may still take effect */
byte restarts = 0;

inline write_row(counts, is_written) {
    is_written = false;
    if
#ifdef NO_CONDITION
    :: true ->
#else
    :: row == NONE ->
#endif
        row = counts;
        is_written = true
    :: else
    fi
}

inline send_report(counts) {
    assert(accepted == NONE || accepted == counts);
    accepted = counts
}

proctype Daemon(byte initial_counts) {
    byte counts = initial_counts;
    byte read_counts = NONE;
    bool is_written = false;

start:
    read_counts = NONE;
    /* A peer reports a further run, which increases the counts. */
    if
    :: counts == initial_counts -> counts = initial_counts + 1
    :: true
    fi;
#ifdef NO_DECISION
    atomic { send_report(counts) };
    goto done;
#endif
    if
    /* The write is executed, and its response is received. */
    :: atomic { write_row(counts, is_written) }
    /* The write is executed, and its response is lost. */
    :: atomic { write_row(counts, is_written); is_written = false }; goto response_lost
    /* The write takes effect later or never. */
    :: atomic { delayed_write == NONE -> delayed_write = counts }; goto response_lost
    fi;
    if
    :: is_written -> atomic { send_report(counts) }; goto done
    :: else
    fi;
#ifdef SENDS_OWN
    atomic { send_report(counts) };
    goto done;
#endif
    /* The read returns the current row, or is stale and finds no row. */
    if
    :: atomic { read_counts = row }
    :: read_counts = NONE
    fi;
    if
    :: read_counts != NONE -> atomic { send_report(read_counts) }; goto done
    :: else -> goto start
    fi;

response_lost:
#ifdef SENDS_UNREAD
    atomic { send_report(counts) };
    goto done;
#endif
    goto start;

done:
    /* The response to the report is lost or the daemon is killed; the daemon starts again. */
    if
    :: atomic { restarts < MAX_RESTARTS -> restarts++; counts = initial_counts }; goto start
    :: true
    fi
}

active proctype LateWrite() {
    bool is_written;

end_late:
    do
    :: atomic { delayed_write != NONE -> write_row(delayed_write, is_written); delayed_write = NONE; is_written = false }
    od
}

init {
    atomic { run Daemon(1); run Daemon(3) }
}
