//! Prints what a change of a document costs the daemons and how long it takes, in a simulation.
//!
//! `cargo run --release -p samphiremoor-fleet --example document_distribution`

#[path = "../tests/distribution/mod.rs"]
mod distribution;

fn main() {
    let texts = |routes: [usize; 3]| -> Vec<Vec<u8>> {
        let numbered = routes.iter().enumerate();
        numbered.map(|(index, count)| distribution::document_text(index as u64, *count)).collect()
    };
    for (daemons, zones) in [(9, 1), (75, 4), (84, 5), (400, 11)] {
        for strategy in [distribution::Strategy::WholeFromReader, distribution::Strategy::Parts] {
            for (name, routes) in [
                ("1,400 more, then a limit", [0, 1_400, 1_400]),
                ("1,400 more twice", [0, 1_400, 2_800]),
            ] {
                for fault in [
                    distribution::ReaderFault::Sound,
                    distribution::ReaderFault::FailsForDocument,
                    distribution::ReaderFault::HangsForPeers,
                    distribution::ReaderFault::Stops,
                ] {
                    let texts = texts(routes);
                    let deployment = distribution::Deployment {
                        zones,
                        daemons,
                        link_rate: 1_250.0,
                        first_link_rate: 25_000.0,
                        delay_ms: 0.5,
                        cpu_ms_per_mb: 150.0,
                        strategy,
                        fault,
                        loss: 0.02,
                        seed: 1,
                    };
                    let reports = distribution::distribute(deployment, &texts, &[0.0, 2_200.0]);
                    for (index, report) in reports.iter().enumerate() {
                        println!(
                            "{daemons} daemons, {strategy:?}, {fault:?}, {name}: document {} B; in force at {} of {daemons}, p50 {:.0} p99 {:.0} longest {:.0} ms, at most {} B sent and {} B received by a daemon for both changes",
                            texts[index + 1].len(),
                            report.in_force_ms.len(),
                            report.quantile_ms(0.5),
                            report.quantile_ms(0.99),
                            report.quantile_ms(1.0),
                            report.sent.iter().max().unwrap_or(&0),
                            report.received.iter().max().unwrap_or(&0),
                        );
                    }
                }
            }
        }
    }
}
