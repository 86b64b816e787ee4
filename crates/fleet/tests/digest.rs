//! Aggregation of the digests of a zone.

use samphiremoor_base::id;
use samphiremoor_base::position;
use samphiremoor_base::quantity;
use samphiremoor_base::rate;
use samphiremoor_base::time;
use samphiremoor_fleet::digest;
use samphiremoor_fleet::entry_copy;
use samphiremoor_fleet::load;
use samphiremoor_fleet::quarantine;
use samphiremoor_fleet::reachability;
use samphiremoor_fleet::rollout;
use samphiremoor_fleet::rollout::exposure;
use samphiremoor_fleet::suspect;
use samphiremoor_fleet::usage;

fn daemon_id(text: &str) -> id::DaemonId {
    text.parse().expect("the name is an identifier")
}

/// Returns the digest of a daemon that has admitted `admitted_units` and has `running` requests on
/// one replica.
fn digest_of(
    daemon: &str,
    incarnation: u64,
    admitted_units: f64,
    running: u32,
) -> digest::PeerDigest {
    let replica: id::ReplicaId = "replica-1".parse().expect("the name is an identifier");
    let workspace: id::WorkspaceId = "clinic".parse().expect("the name is an identifier");
    digest::PeerDigest {
        daemon: daemon_id(daemon),
        zone: "north".parse().expect("the name is an identifier"),
        members: 0,
        incarnation: quantity::Incarnation::new(incarnation),
        address: "10.0.0.1:80".parse().expect("the address is valid"),
        is_stopping: false,
        revision: quantity::RevisionNumber::new(3),
        unix_ms: 1,
        table_age: None,
        entries_version: 1,
        lease_version: (daemon == "two").then(|| quantity::RowVersion::new(5)),
        loads: vec![load::LoadEntry {
            replica: replica.clone(),
            load: load::ReplicaLoad { running, pending_tokens: 100 },
        }],
        workspace_demands: vec![digest::WorkspaceDemand {
            workspace: workspace.clone(),
            admitted_units,
            requested_rate: 10.0,
            admitted_rate: 5.0,
        }],
        service_demands: Vec::new(),
        usage: vec![usage::WindowCount { window: 7, counts: [(workspace, 2)].into() }],
        departed: vec![(replica, quantity::Incarnation::new(1))],
    }
}

fn admitted_units(aggregate: &digest::PeerDigest) -> f64 {
    aggregate.workspace_demands.first().map_or(0.0, |demand| demand.admitted_units)
}

#[test]
fn digests_of_a_zone_are_aggregated() {
    let mut aggregator = digest::DigestAggregator::default();
    let (local, other) = (digest_of("one", 1, 100.0, 3), digest_of("two", 1, 50.0, 4));
    let mut counter = usage::UsageCounter::new(daemon_id("three"), quantity::Incarnation::new(1));
    for digest in [&local, &other] {
        counter.merge_peer(&digest.daemon, digest.incarnation, &digest.usage);
    }
    let usage = counter.group_windows(usage::WindowScope::Recent, |_| true);
    let aggregate = aggregator.aggregate(&local, [&other].into_iter(), usage);
    assert_eq!((aggregate.daemon, aggregate.members), (daemon_id("one"), 2));
    assert_eq!(aggregate.loads[0].load, load::ReplicaLoad { running: 7, pending_tokens: 200 });
    assert_eq!(
        (
            aggregate.workspace_demands[0].requested_rate,
            aggregate.workspace_demands[0].admitted_rate
        ),
        (20.0, 10.0)
    );
    assert_eq!(aggregate.usage[0].counts.values().copied().collect::<Vec<_>>(), [4]);
    assert_eq!(aggregate.lease_version, Some(quantity::RowVersion::new(5)));
    assert_eq!(aggregate.departed.len(), 1, "a departure reported twice is listed once");
}

#[test]
fn admitted_units_never_decrease_on_restart_or_silence() {
    let mut aggregator = digest::DigestAggregator::default();
    let local = |admitted_units| digest_of("one", 1, admitted_units, 0);
    let first_aggregate = aggregator.aggregate(
        &local(100.0),
        [&digest_of("two", 1, 50.0, 0)].into_iter(),
        Vec::new(),
    );
    assert_eq!(
        admitted_units(&first_aggregate),
        0.0,
        "units admitted before the first digest are left out"
    );
    let second_aggregate = aggregator.aggregate(
        &local(130.0),
        [&digest_of("two", 1, 60.0, 0)].into_iter(),
        Vec::new(),
    );
    assert_eq!(admitted_units(&second_aggregate), 40.0);
    let aggregate_without_peer =
        aggregator.aggregate(&local(130.0), std::iter::empty(), Vec::new());
    assert_eq!(admitted_units(&aggregate_without_peer), 40.0);
    let aggregate_after_restart = aggregator.aggregate(
        &local(130.0),
        [&digest_of("two", 2, 15.0, 0)].into_iter(),
        Vec::new(),
    );
    assert_eq!(
        admitted_units(&aggregate_after_restart),
        55.0,
        "the counts of a new incarnation start at zero"
    );
}

fn notices() -> Vec<digest::LimitNotice> {
    let notice = |name: &str, rate: Option<u64>| digest::LimitNotice {
        replica: name.parse().expect("the name is an identifier"),
        rate: rate.map(rate::RequestRate::from_millis),
        observed_ms: 1_796_000_000_000,
    };
    vec![notice("replica-1", Some(1_100)), notice("replica-2", None)]
}

fn lost_paths() -> Vec<reachability::PathGroup> {
    vec![reachability::PathGroup {
        service: "desk".parse().expect("the name is an identifier"),
        zone: "north".parse().expect("the name is an identifier"),
    }]
}

fn crash_notices() -> Vec<quarantine::QuarantineNotice> {
    let segment = suspect::SuspectId::Segment(7);
    let request = suspect::SuspectId::Request(suspect::RequestFingerprint::new(9 << 100));
    vec![
        quarantine::QuarantineNotice::Crash {
            replica: "replica-1".parse().expect("the name is an identifier"),
            incarnation: quantity::Incarnation::new(3),
            at_ms: 1_700_000_000_000,
            reporter: Some("one".parse().expect("the name is an identifier")),
            suspects: vec![segment, request],
        },
        quarantine::QuarantineNotice::Survival { suspect: request, at_ms: 1_700_000_000_001 },
        quarantine::QuarantineNotice::Alive {
            replica: "replica-1".parse().expect("the name is an identifier"),
            incarnation: quantity::Incarnation::new(3),
            crash_ms: 1_700_000_000_000,
        },
        quarantine::QuarantineNotice::Survival { suspect: segment, at_ms: 1_700_000_000_000 },
    ]
}

/// Layout of the notices of limits, as a release decodes them that knows no others.
type LimitsOnly = (digest::PeerDigest, Vec<digest::LimitNotice>);

/// Layout of the notices, as a release decodes them that knows segments but no requests.
type SegmentsOnly = (
    digest::PeerDigest,
    Vec<digest::LimitNotice>,
    (Option<digest::PolicyRead>, Vec<quarantine::SegmentNoticeWire>),
);

/// Digest and notices as the release before rollouts encodes them.
type WithoutRollouts = (
    digest::PeerDigest,
    Vec<digest::LimitNotice>,
    (Option<digest::PolicyRead>, Vec<quarantine::SegmentNoticeWire>),
    (Vec<quarantine::RequestNoticeWire>, Vec<reachability::PathGroup>),
    (quantity::StoreEra, Vec<usage::WindowCount>),
);

/// Digest and notices as the release before fingerprints encodes them.
type WithoutFingerprint = (WithoutRollouts, Vec<rollout::RolloutNotice>);

fn fingerprint() -> Option<entry_copy::EntriesFingerprint> {
    "00c0ffee00c0ffee".parse().ok()
}

fn rollouts() -> Vec<rollout::RolloutNotice> {
    let order = rollout::RolloutOrder {
        service: "desk".parse().expect("the text is an identifier"),
        to: "v2".parse().expect("the text is a version"),
        duration: time::Millis::new(12_000),
        position: position::StorePosition::default(),
    };
    let started_at = time::MonotonicTime::new(1_000);
    let mut state = rollout::ServiceRollout::new(order, started_at, false, 0.5);
    state.on_send("draft", exposure::VersionSide::Old);
    vec![state.notice(rollout::NoticeScope::Local, started_at)]
}

/// A digest and notices are read by daemons of this release and of earlier ones, which know only
/// notices of limits, or none.
fn check_releases(limits: &[digest::LimitNotice], policy_read: Option<digest::PolicyRead>) {
    let sent = digest_of("one", 1, 100.0, 3);
    let notices = digest::DigestNotices {
        limits: limits.to_vec(),
        policy_read,
        quarantine: crash_notices(),
        lost_paths: lost_paths(),
        lease_era: quantity::StoreEra::new(3),
        decided_reports: vec![usage::WindowCount {
            window: 9,
            counts: [("clinic".parse().expect("the text is an identifier"), 4)].into(),
        }],
        rollouts: rollouts(),
        entries_fingerprint: fingerprint(),
        sent_at: Some(time::Millis::new(81_500)),
    };
    let bytes = digest::encode(&sent, &notices).expect("the digest can be encoded");
    assert_eq!(digest::decode(&bytes).ok(), Some((sent.clone(), notices)));
    assert_eq!(
        postcard::from_bytes(&bytes).ok(),
        Some(sent.clone()),
        "a release without notices reads it"
    );
    let with_limits: Option<LimitsOnly> = postcard::from_bytes(&bytes).ok();
    assert_eq!(
        with_limits,
        Some((sent.clone(), limits.to_vec())),
        "a release with limits reads it"
    );
    let with_segments: SegmentsOnly =
        postcard::from_bytes(&bytes).expect("a release with segments reads it");
    let crash = quarantine::SegmentNoticeWire::Crash {
        replica: "replica-1".parse().expect("the name is an identifier"),
        incarnation: quantity::Incarnation::new(3),
        at_ms: 1_700_000_000_000,
        suspects: vec![7],
    };
    let survival = quarantine::SegmentNoticeWire::Survival { segment: 7, at_ms: 1_700_000_000_000 };
    let crashes = vec![crash, survival];
    assert_eq!(with_segments, (sent.clone(), limits.to_vec(), (policy_read, crashes)));
    let without_rollouts: WithoutRollouts =
        postcard::from_bytes(&bytes).expect("a release without rollouts reads it");
    let encoded = postcard::to_stdvec(&without_rollouts).expect("the notices can be encoded");
    let (_, decoded) = digest::decode(&encoded).expect("this release reads it");
    assert!(decoded.rollouts.is_empty(), "a release without rollouts sends none");
    let without_fingerprint: WithoutFingerprint =
        postcard::from_bytes(&bytes).expect("a release without fingerprints reads it");
    let encoded = postcard::to_stdvec(&without_fingerprint).expect("the notices can be encoded");
    let (_, decoded) = digest::decode(&encoded).expect("this release reads it");
    assert_eq!((decoded.rollouts, decoded.entries_fingerprint), (rollouts(), None));
    let encoded = postcard::to_stdvec(&with_segments).expect("the notices can be encoded");
    let (_, decoded) = digest::decode(&encoded).expect("this release reads it");
    assert_eq!(decoded.quarantine.len(), 2, "notices of a release without requests");
    let earlier = postcard::to_stdvec(&sent).expect("the digest can be encoded");
    assert_eq!(
        digest::decode(&earlier).ok(),
        Some((sent.clone(), digest::DigestNotices::default()))
    );
    let earlier = postcard::to_extend(limits, earlier).expect("the notices can be encoded");
    let expected =
        digest::DigestNotices { limits: limits.to_vec(), ..digest::DigestNotices::default() };
    assert_eq!(digest::decode(&earlier).ok(), Some((sent, expected)));
}

const READS: Option<digest::PolicyRead> =
    Some(digest::PolicyRead { age: Some(time::Millis::new(300)) });
const READS_NOT: Option<digest::PolicyRead> = Some(digest::PolicyRead { age: None });

samphiremoor_base::cases! {
    digest_without_notices_is_that_of_earlier_releases => check_releases(&[], None);
    digest_with_notices_is_read_by_earlier_releases => check_releases(&notices(), READS);
    digest_of_a_follower_is_read_by_earlier_releases => check_releases(&[], READS_NOT);
}

/// A digest arrives `silence_ms` after one of the incarnation 5.
fn check_outdated(incarnation: u64, silence_ms: u64, expected: bool) {
    let [last, next] = [5, incarnation].map(|incarnation| digest_of("one", incarnation, 0.0, 0));
    assert_eq!(next.is_outdated(&last, time::Millis::new(silence_ms)), expected);
}

samphiremoor_base::cases! {
    digest_of_an_earlier_process_is_outdated => check_outdated(4, 1_400, true);
    digest_of_a_later_process_with_an_earlier_clock_is_not => check_outdated(4, 1_500, false);
    digest_of_the_same_process_is_not_outdated => check_outdated(5, 0, false);
    digest_of_a_later_process_is_not_outdated => check_outdated(6, 0, false);
}

#[test]
fn truncated_notices_are_refused() {
    let sent = digest_of("one", 1, 100.0, 3);
    let notices = digest::DigestNotices {
        limits: notices(),
        policy_read: READS,
        quarantine: crash_notices(),
        lost_paths: lost_paths(),
        lease_era: quantity::StoreEra::new(3),
        decided_reports: vec![usage::WindowCount {
            window: 9,
            counts: [("clinic".parse().expect("the text is an identifier"), 4)].into(),
        }],
        rollouts: rollouts(),
        entries_fingerprint: fingerprint(),
        sent_at: Some(time::Millis::new(81_500)),
    };
    let bytes = digest::encode(&sent, &notices).expect("the digest can be encoded");
    let digest_length = postcard::to_stdvec(&sent).expect("the digest can be encoded").len();
    let limits = postcard::to_stdvec(&notices.limits).expect("the notices can be encoded");
    let wire = quarantine::NoticesWire::from(&notices.quarantine[..]);
    let segments = postcard::to_stdvec(&(notices.policy_read, wire.segments))
        .expect("the notices can be encoded");
    let requests = postcard::to_stdvec(&(wire.requests, &notices.lost_paths))
        .expect("the notices can be encoded");
    let reports = postcard::to_stdvec(&(notices.lease_era, &notices.decided_reports))
        .expect("the notices can be encoded");
    let rollouts = postcard::to_stdvec(&notices.rollouts).expect("the notices can be encoded");
    // Messages that end behind the notices of limits, of segments, of paths, of reports, of rollouts or
    // of the entries are whole, as earlier releases send them.
    let limits_end = digest_length + limits.len();
    let segments_end = limits_end + segments.len();
    let requests_end = segments_end + requests.len();
    let reports_end = requests_end + reports.len();
    let rollouts_end = reports_end + rollouts.len();
    let fingerprint =
        postcard::to_stdvec(&notices.entries_fingerprint).expect("the notices can be encoded");
    let fingerprint_end = rollouts_end + fingerprint.len();
    let whole_lengths =
        [limits_end, segments_end, requests_end, reports_end, rollouts_end, fingerprint_end];
    for length in digest_length + 1..bytes.len() {
        let is_whole = whole_lengths.contains(&length);
        assert_eq!(digest::decode(&bytes[..length]).is_ok(), is_whole, "{length} bytes");
    }
}
