//! What other daemons send is decoded and applied without a panic, whatever it is.

use proptest::prelude::*;
use samphiremoor_base::id;
use samphiremoor_base::position;
use samphiremoor_base::quantity;
use samphiremoor_base::rate;
use samphiremoor_base::time;
use samphiremoor_fleet::attempt_message;
use samphiremoor_fleet::clock_instant;
use samphiremoor_fleet::digest;
use samphiremoor_fleet::document;
use samphiremoor_fleet::duty;
use samphiremoor_fleet::limit;
use samphiremoor_fleet::load;
use samphiremoor_fleet::quarantine;
use samphiremoor_fleet::quarantine_rows;
use samphiremoor_fleet::quota;
use samphiremoor_fleet::reachability;
use samphiremoor_fleet::replica;
use samphiremoor_fleet::rollout;
use samphiremoor_fleet::rollout::plan;
use samphiremoor_fleet::rollout::verdict;
use samphiremoor_fleet::suspect;
use samphiremoor_fleet::usage;
use samphiremoor_fleet::wall_clock;
use samphiremoor_platform::table;

fn parsed<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("the text is valid")
}

/// Numbers at the bounds of all integer types, and others.
fn integers() -> impl Strategy<Value = u64> {
    prop_oneof![
        Just(0),
        Just(1),
        Just(u64::from(u32::MAX)),
        Just(i64::MAX as u64),
        Just(i64::MAX as u64 + 1),
        Just(u64::MAX - 1),
        Just(u64::MAX),
        any::<u64>(),
        0..1_000_u64,
    ]
}

fn counts() -> impl Strategy<Value = u32> {
    prop_oneof![Just(0), Just(1), Just(u32::MAX), any::<u32>()]
}

fn floats() -> impl Strategy<Value = f64> {
    prop_oneof![
        Just(0.0),
        Just(-1.0),
        Just(f64::MAX),
        Just(f64::MIN),
        Just(f64::INFINITY),
        Just(f64::NEG_INFINITY),
        Just(f64::NAN),
        any::<f64>(),
        0.0..1e6_f64,
    ]
}

fn digests() -> impl Strategy<Value = digest::PeerDigest> {
    let numbers = prop::collection::vec(integers(), 8);
    let counts = prop::collection::vec(counts(), 6);
    let floats = prop::collection::vec(floats(), 4);
    (numbers, counts, floats).prop_map(|(numbers, counts, floats)| digest::PeerDigest {
        daemon: parsed("d02"),
        zone: parsed("north"),
        members: counts[0],
        incarnation: quantity::Incarnation::new(numbers[0]),
        address: parsed("10.0.0.1:80"),
        is_stopping: false,
        revision: quantity::RevisionNumber::new(numbers[1]),
        unix_ms: numbers[2],
        table_age: Some(time::Millis::new(numbers[3])),
        entries_version: numbers[4],
        lease_version: Some(quantity::RowVersion::new(numbers[5])),
        loads: vec![load::LoadEntry {
            replica: parsed("replica-1"),
            load: load::ReplicaLoad { running: counts[1], pending_tokens: counts[2] },
        }],
        workspace_demands: vec![digest::WorkspaceDemand {
            workspace: parsed("clinic"),
            admitted_units: floats[0],
            requested_rate: floats[1] as f32,
            admitted_rate: floats[2] as f32,
        }],
        service_demands: vec![digest::ServiceDemand {
            service: parsed("drafts"),
            prompt_rate: floats[3] as f32,
        }],
        usage: vec![usage::WindowCount {
            window: numbers[6],
            counts: [(parsed("clinic"), counts[3])].into(),
        }],
        departed: vec![(parsed("replica-1"), quantity::Incarnation::new(numbers[7]))],
    })
}

fn notices() -> impl Strategy<Value = digest::DigestNotices> {
    prop::collection::vec(integers(), 8).prop_map(|numbers| digest::DigestNotices {
        limits: vec![digest::LimitNotice {
            replica: parsed("replica-1"),
            rate: Some(rate::RequestRate::from_millis(numbers[0])),
            observed_ms: numbers[1],
        }],
        policy_read: Some(digest::PolicyRead { age: Some(time::Millis::new(numbers[2])) }),
        quarantine: vec![
            quarantine::QuarantineNotice::Crash {
                replica: parsed("replica-1"),
                incarnation: quantity::Incarnation::new(numbers[3]),
                at_ms: numbers[4],
                reporter: Some(parsed("d02")),
                suspects: vec![suspect::SuspectId::Segment(7)],
            },
            quarantine::QuarantineNotice::Verdict {
                suspect: suspect::SuspectId::Segment(numbers[3]),
                since_ms: numbers[4],
                next_test_ms: numbers[5],
            },
            quarantine::QuarantineNotice::Survival {
                suspect: suspect::SuspectId::Segment(7),
                at_ms: numbers[6],
            },
            quarantine::QuarantineNotice::Alive {
                replica: parsed("replica-1"),
                incarnation: quantity::Incarnation::new(numbers[3]),
                crash_ms: numbers[7],
            },
        ],
        lost_paths: vec![reachability::PathGroup {
            service: parsed("drafts"),
            zone: parsed("north"),
        }],
        lease_era: quantity::StoreEra::new(numbers[7]),
        decided_reports: vec![usage::WindowCount {
            window: numbers[6],
            counts: [(parsed("clinic"), 1)].into(),
        }],
        rollouts: vec![rollout_notice(&numbers)],
        entries_fingerprint: format!("{:x}", numbers[5]).parse().ok(),
        sent_at: Some(time::Millis::new(numbers[5])),
    })
}

fn rollout_notice(numbers: &[u64]) -> rollout::RolloutNotice {
    let counts = verdict::VersionCounts {
        sent: numbers[0],
        ended: numbers[1],
        failed: numbers[2],
        timed: numbers[3],
        log_sum: numbers[4],
        log_squares: numbers[5],
    };
    let lease = position::StorePosition {
        era: quantity::StoreEra::new(numbers[6]),
        version: quantity::RowVersion::new(numbers[7]),
    };
    rollout::RolloutNotice {
        order: rollout::RolloutOrder {
            service: parsed("drafts"),
            to: parsed("v2"),
            duration: time::Millis::new(numbers[0]),
            position: lease,
        },
        order_age: time::Millis::new(numbers[1]),
        decision: Some(rollout::PhaseDecision {
            lease,
            phase: rollout::RolloutPhase::Share { step: numbers[2] as u8, per_mille: 300 },
            phase_age: time::Millis::new(numbers[3]),
            confirmation_age: time::Millis::new(numbers[4]),
        }),
        is_vetoed: false,
        settled: numbers[5] as u32,
        routes: vec![rollout::RouteCounts { route: "draft".into(), old: counts, new: counts }],
    }
}

/// Applies the notice of a rollout as a daemon does that holds the lease.
fn apply_rollout(index: usize, notice: &rollout::RolloutNotice, now: time::MonotonicTime) {
    let limits =
        rollout::ExposureLimits { share: 0.1, slack: 50.0, rollback: time::Millis::new(5_000) };
    let mut state = rollout::ServiceRollout::new(notice.order.clone(), now, false, 0.5);
    for sender in ["d02", "d03"] {
        let sender = (parsed(sender), quantity::Incarnation::new(1));
        state.observe_notice(sender, index.is_multiple_of(2), notice, now);
    }
    state.observe_daemons(2);
    state.judge(&limits, now);
    let view = plan::HolderView {
        lease: position::StorePosition::default(),
        daemons: 2,
        propagation: time::Millis::new(450),
        new_replicas: 1,
        has_table: true,
    };
    state.advance(&limits, &view, now);
    state.choose(&limits, true, 0.5, now);
    state.notice(rollout::NoticeScope::Group, now);
}

/// Applies digests as a daemon does, and reads what follows from them.
fn apply(received: &[(digest::PeerDigest, digest::DigestNotices)]) {
    let entry = replica::ReplicaEntry {
        id: parsed("replica-1"),
        service: parsed("drafts"),
        address: parsed("10.0.0.9:80"),
        zone: parsed("north"),
        version: None,
        slots: 6,
        is_draining: false,
        incarnation: quantity::Incarnation::new(1),
        is_reclaimable: false,
        time_to_reclaim: None,
    };
    let mut replicas = replica::ReplicaTable::default();
    replicas.upsert(entry);
    let local: id::DaemonId = parsed("d01");
    let mut usage = usage::UsageCounter::new(local.clone(), quantity::Incarnation::new(1));
    let mut quota = quota::QuotaLimiter::default();
    let started_at = time::MonotonicTime::new(100_000);
    let mut clock = wall_clock::ClockEstimate::new(1_700_000_000_000, started_at);
    let mut limits = limit::LimitTable::new(started_at);
    let mut verdicts = quarantine::QuarantineTable::new(local);
    let mut aggregator = digest::DigestAggregator::default();
    for (index, (digest, notices)) in received.iter().enumerate() {
        let now = started_at + time::Millis::new(300 * index as u64);
        let daemon: id::DaemonId = parsed(&format!("d{:02}", 2 + index % 3));
        replicas.set_peer_loads(&daemon, &digest.loads, now);
        let known = replicas.get(&parsed("replica-1")).expect("the replica is known");
        replicas.load(known, now);
        for (replica, incarnation) in &digest.departed {
            replicas.on_peer_departure(replica, *incarnation);
        }
        usage.merge_peer(&daemon, digest.incarnation, &digest.usage);
        digest.usage.iter().for_each(|count| drop(usage.total(count.window)));
        usage.prune_incarnations(340_000_000);
        quota.observe_peer_demands(&daemon, digest.incarnation, &digest.workspace_demands, now);
        let unix_ms = i64::try_from(digest.unix_ms).unwrap_or(0);
        clock.observe_peer(&daemon, unix_ms, now);
        let unix_ms = u64::try_from(clock.now(now)).unwrap_or(0);
        let instant = clock_instant::ClockInstant { now, unix_ms };
        for notice in &notices.limits {
            limits.observe_notice(notice, now);
            limits.wait(&notice.replica, instant);
            limits.record_send(&notice.replica, instant);
        }
        for notice in &notices.quarantine {
            verdicts.observe_notice(notice, quarantine::NoticeSource::Member, instant);
        }
        verdicts.evaluate(instant);
        verdicts.sweep(now);
        for notice in &notices.rollouts {
            apply_rollout(index, notice, now);
        }
        aggregator.aggregate(
            digest,
            received.iter().map(|(digest, _)| digest),
            usage.group_windows(usage::WindowScope::Retained, |_| true),
        );
    }
}

fn sound_digest() -> (digest::PeerDigest, digest::DigestNotices) {
    use proptest::strategy::ValueTree as _;
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let tree = (digests(), notices()).new_tree(&mut runner).expect("the strategy has values");
    tree.current()
}

proptest! {
    #![proptest_config(samphiremoor_testkit::config(256))]

    #[test]
    fn extreme_digests_are_applied(
        received in prop::collection::vec((digests(), notices()), 1..6),
    ) {
        // As they arrive.
        let received: Vec<_> = received
            .iter()
            .filter_map(|(digest, notices)| {
                let bytes = digest::encode(digest, notices).expect("a digest can be encoded");
                digest::decode(&bytes).ok()
            })
            .collect();
        apply(&received);
    }

    #[test]
    fn mutated_digests_are_decoded_or_refused(
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..12),
        kept in any::<prop::sample::Index>(),
        more in prop::collection::vec(any::<u8>(), 0..20),
    ) {
        let (digest, notices) = sound_digest();
        let mut bytes = digest::encode(&digest, &notices).expect("a digest can be encoded");
        for (index, value) in changes {
            let index = index.index(bytes.len());
            bytes[index] = value;
        }
        bytes.truncate(kept.index(bytes.len()) + 1);
        bytes.extend(more);
        if let Ok(received) = digest::decode(&bytes) {
            apply(&[received]);
        }
    }

    #[test]
    fn bytes_are_decoded_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(received) = digest::decode(&bytes) {
            apply(&[received]);
        }
        let _ = attempt_message::AttemptMessage::decode(&bytes);
        let _ = document::DocumentManifest::decode(&bytes, 1_000_000);
        let text = String::from_utf8_lossy(&bytes);
        let _ = document::decode_ranges(&text);
        let row = table::TableRow {
            key: table::RowKey::new(&format!("quarantine/{text}")),
            version: quantity::RowVersion::new(1),
            value: text.as_ref().into(),
        };
        quarantine_rows::decode(&[row]);
    }

    #[test]
    fn extreme_lease_rows_are_read(
        rows in prop::collection::vec((integers(), integers(), integers(), any::<bool>()), 1..8),
        era in integers(),
    ) {
        let era = quantity::StoreEra::new(era);
        let (local, other): (id::DaemonId, id::DaemonId) = (parsed("d01"), parsed("d02"));
        let incarnation = quantity::Incarnation::new(1);
        let mut lease = duty::DutyLease::new(local, incarnation, time::Millis::new(3_000));
        let mut now = time::MonotonicTime::new(100_000);
        for (fence, renewals, version, is_held) in rows {
            let text = format!(
                r#"{{"holder":{},"fence":{fence},"renewals":{renewals}}}"#,
                if is_held { format!(r#"["{other}",{version}]"#) } else { "null".to_owned() },
            );
            let row: Result<duty::DutyRow, _> = serde_json::from_str(&text);
            let stored = row.ok().map(|row| (row, quantity::RowVersion::new(version)));
            lease.on_row_read(stored, era, now, now);
            now = now + time::Millis::new(4_000);
            if let Some(duty::DutyAction::Write { row, .. }) =
                lease.next_action(now, time::Millis::default())
            {
                prop_assert!(row.fence.get() >= fence, "a token that falls");
                let outcome = duty::CommitOutcome::Committed(quantity::RowVersion::new(version));
                lease.on_write_outcome(row, (outcome, Some(era)), now, now);
            }
            lease.fencing_token(now);
        }
    }

    #[test]
    fn texts_of_ranges_are_decoded_or_refused(text in "[0-9,-]{0,60}") {
        let _ = document::decode_ranges(&text);
    }

    #[test]
    fn rows_of_suspects_are_decoded_or_refused(
        since in "-?[0-9]{1,30}(e[0-9]{1,4})?",
        next in "-?[0-9]{1,30}",
        depth in 0..400_usize,
    ) {
        let nested = format!("{}{}", "[".repeat(depth), "]".repeat(depth));
        let values = [
            format!(r#"{{"state":"quarantined","since_ms":{since},"next_test_ms":{next}}}"#),
            format!(r#"{{"state":"quarantined","since_ms":1,"next_test_ms":2,"more":{nested}}}"#),
            nested,
        ];
        let rows = values.map(|value| table::TableRow {
            key: table::RowKey::new("quarantine/00000000000000ff"),
            version: quantity::RowVersion::new(1),
            value: value.as_str().into(),
        });
        let (decoded, _) = quarantine_rows::decode(&rows);
        for (suspect, row) in decoded {
            row.notice(suspect);
        }
    }
}
