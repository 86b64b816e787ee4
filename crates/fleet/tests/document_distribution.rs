//! Large documents reach all daemons in time, and no daemon's link carries them for all others.

mod distribution;

/// Number of daemons from which on most links are slow.
const MANY_DAEMONS: usize = 60;
/// Rates of the links of many small VMs and of the first VM of each zone, in bytes per millisecond.
const LINK_RATES: (f64, f64) = (1_250.0, 25_000.0);
/// Rate of the links of a few VMs, in bytes per millisecond.
const FAST_LINK_RATE: f64 = 125_000.0;
/// Time between two documents, in milliseconds.
const PAUSE_MS: f64 = 2_200.0;
/// Number of copies of the documents that a daemon may send. Daemons that have a document are asked
/// at random; each serves at most four readers a second.
const MAX_COPIES: u64 = 6;

/// Asserts that two documents, of these numbers of routes, are in force at all daemons within
/// `bound_ms`.
fn check(
    (daemons, zones): (usize, usize),
    routes: [usize; 2],
    fault: distribution::ReaderFault,
    bound_ms: f64,
) {
    let is_large = daemons >= MANY_DAEMONS;
    let (link_rate, first_link_rate) =
        if is_large { LINK_RATES } else { (FAST_LINK_RATE, FAST_LINK_RATE) };
    for seed in 0..2 {
        let deployment = distribution::Deployment {
            zones,
            daemons,
            link_rate,
            first_link_rate,
            delay_ms: 0.5,
            cpu_ms_per_mb: 150.0,
            strategy: distribution::Strategy::Parts,
            fault,
            loss: 0.02,
            seed,
        };
        let texts: Vec<_> = [0, routes[0], routes[1]]
            .into_iter()
            .enumerate()
            .map(|(revision, count)| distribution::document_text(revision as u64, count))
            .collect();
        let reports = distribution::distribute(deployment, &texts, &[0.0, PAUSE_MS]);
        // A daemon that stops has the documents no more.
        let stopped = usize::from(fault == distribution::ReaderFault::Stops);
        for report in &reports {
            assert!(report.in_force_ms.len() >= daemons - stopped, "{report:?}");
            assert!(report.quantile_ms(1.0) <= bound_ms, "{:?}", report.quantile_ms(1.0));
        }
        let document_bytes = texts.iter().map(Vec::len).max().unwrap_or(0) as u64;
        let sent = reports[0].sent.iter().max().copied().unwrap_or(0);
        assert!(sent <= MAX_COPIES * document_bytes, "{sent} of {document_bytes}");
    }
}

macro_rules! cases {
    ($($name:ident => $size:expr, $routes:expr, $fault:ident, $bound_ms:expr;)*) => {
        $(#[test] fn $name() {
            check($size, $routes, distribution::ReaderFault::$fault, $bound_ms);
        })*
    };
}

cases! {
    two_documents_at_9_daemons => (9, 1), [1_400, 2_800], Sound, 2_000.0;
    two_documents_at_75_daemons => (75, 4), [1_400, 2_800], Sound, 3_000.0;
    two_documents_at_84_daemons => (84, 5), [1_400, 2_800], Sound, 3_000.0;
    two_documents_at_400_daemons => (400, 11), [1_400, 2_800], Sound, 4_000.0;
    document_and_small_change_at_75_daemons => (75, 4), [1_400, 1_400], Sound, 3_000.0;
    very_large_documents_at_75_daemons => (75, 4), [4_200, 5_600], Sound, 3_000.0;
    reader_without_documents_at_75_daemons => (75, 4), [1_400, 2_800], FailsForDocument, 3_000.0;
    reader_without_documents_at_400_daemons => (400, 11), [1_400, 2_800], FailsForDocument, 4_000.0;
    reader_that_hangs_at_9_daemons => (9, 1), [1_400, 2_800], HangsForPeers, 2_000.0;
    reader_that_hangs_at_75_daemons => (75, 4), [1_400, 2_800], HangsForPeers, 3_000.0;
    reader_that_hangs_at_400_daemons => (400, 11), [1_400, 2_800], HangsForPeers, 4_000.0;
    reader_that_stops_at_9_daemons => (9, 1), [1_400, 2_800], Stops, 2_000.0;
    reader_that_stops_at_75_daemons => (75, 4), [1_400, 2_800], Stops, 3_000.0;
    reader_that_stops_at_400_daemons => (400, 11), [1_400, 2_800], Stops, 4_000.0;
}
