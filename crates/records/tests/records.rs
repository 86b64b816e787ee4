//! Parsing, conversion and validation of record files.

use proptest::prelude;
use proptest::prelude::Strategy;
use proptest::test_runner;
use samphiremoor_base::cases;
use samphiremoor_base::digest;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_records::bundle;
use samphiremoor_records::file;
use samphiremoor_records::revision;
use samphiremoor_records::set;
use samphiremoor_records::v1;
use samphiremoor_records::v2;
use smallvec::SmallVec;

const EXAMPLE_V1: &str = include_str!("../../../deploy/examples/records-v1.toml");
const EXAMPLE_V2: &str = include_str!("../../../deploy/examples/records-v2.toml");

fn bundle(texts: &[&str]) -> Result<bundle::RecordBundle, file::FileError> {
    let files: Result<Vec<_>, _> = texts.iter().map(|text| file::parse(text)).collect();
    Ok(bundle::RecordBundle::new(files?.into_iter().flat_map(|file| file.entries)))
}

#[track_caller]
fn check_accepted(texts: &[&str], records: usize) {
    let bundle = bundle(texts).expect("the files can be parsed");
    assert_eq!(bundle.entries().count(), records);
    bundle.to_set(quantity::RevisionNumber::new(1)).expect("the record set is consistent");
}

#[track_caller]
fn check_refused(texts: &[&str], part: &str) {
    let message = match bundle(texts) {
        Err(cause) => cause.to_string(),
        Ok(bundle) => bundle
            .to_set(quantity::RevisionNumber::new(1))
            .expect_err("the record set is inconsistent")
            .to_string(),
    };
    assert!(message.contains(part), "{message:?} lacks {part:?}");
}

/// Returns the example of schema version 1 with one text replaced.
fn changed(from: &str, to: &str) -> String {
    assert!(EXAMPLE_V1.contains(from), "the example contains {from:?}");
    EXAMPLE_V1.replacen(from, to, 1)
}

cases! {
    example_v1_is_accepted => check_accepted(&[EXAMPLE_V1], 5);
    example_v2_is_accepted => check_accepted(&[EXAMPLE_V2], 5);
    both_schema_versions_are_accepted_together => check_accepted(&[EXAMPLE_V1, EXAMPLE_V2], 10);
    missing_schema_is_refused => check_refused(&["[[pool]]\n"], "begin the file with schema = 1");
    unknown_schema_is_refused => check_refused(&["schema = 3\n"], "write schema = 1 or schema = 2");
    unknown_key_is_refused_with_its_line =>
        check_refused(&["schema = 2\ncolour = 1\n"], "line 2: unknown field `colour`");
    v2_key_in_v1_is_refused =>
        check_refused(&[&changed("share = 300", "limits = { share = 1 }")], "unknown field `limits`");
    unknown_service_is_refused => check_refused(
        &[&changed("\"courier\"]", "\"boats\"]")],
        "workspace/district-clinics: service boats is not declared",
    );
    service_without_pool_is_refused => check_refused(
        &[&changed("services = [\"rental-assistant\"]", "services = [\"courier\"]")],
        "service/rental-assistant: no pool serves it",
    );
    incomplete_target_is_refused =>
        check_refused(&[&changed("version = \"2026-05\"\n", "")], "give model and version together");
    duplicate_record_is_refused =>
        check_refused(&[&changed("id = \"courier-pool\"", "id = \"assistant-pool\"")], "declared twice");
    duplicate_key_is_refused => check_refused(
        &[EXAMPLE_V1, &changed("district-clinics", "other-clinics")],
        "has the key of workspace/district-clinics",
    );
    shares_over_capacity_are_refused =>
        check_refused(&[&changed("share = 300", "share = 1001")], "lower them to 1000");
    shares_count_in_each_pool => check_accepted(
        &[&changed("share = 300", "share = 900"), &EXAMPLE_V2.replacen("share = 250", "share = 900", 1)],
        10,
    );
    pool_without_concurrency_is_refused =>
        check_refused(&[&changed("concurrency = 8", "concurrency = 0")], "pool/assistant-pool: give");
    min_replicas_over_max_is_refused =>
        check_refused(&[&changed("min_replicas = 4", "min_replicas = 40")], "maximum number of replicas above 0 and not below the minimum");
    zero_latency_is_refused =>
        check_refused(&[&changed("first_ms = 1100", "first_ms = 0")], "above 0");
    oversized_file_is_refused =>
        check_refused(&[&"#".repeat(file::MAX_FILE_BYTES + 1)], "split it into files");
}

#[test]
fn records_keep_their_text_and_schema() {
    let bundle = bundle(&[EXAMPLE_V1, EXAMPLE_V2]).expect("the examples can be parsed");
    for entry in bundle.entries() {
        let again = file::parse(&entry.text).expect("a single record is a valid file");
        assert_eq!(again.entries, vec![entry.clone()]);
    }
    let schemas: Vec<u32> = bundle.entries().map(|entry| entry.schema).collect();
    assert_eq!(schemas, [2, 1, 2, 2, 1, 1, 1, 2, 1, 2]);
}

#[test]
fn omitted_keys_stay_omitted() {
    let courier = "service/courier".parse().expect("a key");
    let bundle = bundle(&[EXAMPLE_V1]).expect("the example can be parsed");
    let entry = bundle.get(&courier).expect("the example has the service");
    assert!(!entry.text.contains("between_ms"), "{}", entry.text);
}

#[test]
fn revision_row_with_wrong_digest_is_refused() {
    let bundle = bundle(&[EXAMPLE_V1]).expect("the example can be parsed");
    let mut row = revision::RevisionRow {
        revision: quantity::RevisionNumber::new(4),
        digest: bundle.digest(),
        write_id: "w-1".parse().expect("a write id"),
        author: "test".into(),
        written_at: 0,
        changed: Vec::new(),
        entries: bundle.entries().cloned().collect(),
    };
    assert_eq!(revision::RevisionRow::parse(&row.to_value()), Ok(row.clone()));
    row.entries.pop();
    let refused = revision::RevisionRow::parse(&row.to_value());
    assert_eq!(refused, Err(revision::RowError::WrongDigest(row.revision)));
}

fn config() -> test_runner::Config {
    samphiremoor_testkit::config(256)
}

fn services() -> impl Strategy<Value = set::ServiceRecord> {
    let loaded = ("[a-z]{1,8}", "[0-9]{1,4}", proptest::option::of("[a-z]{1,8}"));
    let numbers = (0_u8..=9, 1_u64..5_000, 0_u64..200, 0_u16..1_000, 0_u16..1_000);
    ("[a-z]{1,12}", proptest::option::of(loaded), numbers, proptest::bool::ANY).prop_map(
        |(id, loaded, (priority, first, between, cost, recomputed), repeatable)| {
            let target = loaded.map_or(set::ServiceTarget::Plain, |(model, version, adapter)| {
                set::ServiceTarget::Model(set::LoadedModel {
                    model: model.parse().expect("a model"),
                    version: version.parse().expect("a version"),
                    adapter: adapter.map(|adapter| adapter.parse().expect("an adapter")),
                })
            });
            set::ServiceRecord {
                id: id.parse().expect("a service"),
                target,
                priority: quantity::PriorityLevel::new(priority),
                latency: set::LatencyTarget {
                    first: time::Millis::new(first),
                    between: time::Millis::new(between),
                    deadline: time::Millis::new(first + 1),
                },
                weights: set::GoalWeights {
                    cost: quantity::PerMille::new(cost),
                    recomputed: quantity::PerMille::new(recomputed),
                },
                repeatable,
            }
        },
    )
}

fn workspaces() -> impl Strategy<Value = set::WorkspaceRecord> {
    ("[a-z]{1,12}", proptest::collection::vec("[a-z]{1,12}", 0..6), 0_u16..1_000, 1_u32..1_000)
        .prop_map(|(id, services, share, max_in_progress)| set::WorkspaceRecord {
            key_digest: digest::HexDigest::of(id.as_bytes()),
            id: id.parse().expect("a workspace"),
            services: services.iter().map(|id| id.parse().expect("a service")).collect(),
            share: quantity::PerMille::new(share),
            max_in_progress,
        })
}

fn pools() -> impl Strategy<Value = set::PoolRecord> {
    let names = || proptest::collection::vec("[a-z]{1,12}", 0..4);
    (
        ("[a-z]{1,12}", names(), names(), names()),
        (0_u32..9, 0_u32..99, 0_u32..99),
        proptest::bool::ANY,
    )
        .prop_map(
            |((id, services, zones, classes), (min, max, concurrency), checks_fencing)| {
                set::PoolRecord {
                    id: id.parse().expect("a pool"),
                    services: services.iter().map(|id| id.parse().expect("a service")).collect(),
                    zones: zones.iter().map(|id| id.parse().expect("a zone")).collect(),
                    classes: classes
                        .iter()
                        .map(|id| id.parse().expect("a class"))
                        .collect::<SmallVec<_>>(),
                    min_replicas: min,
                    max_replicas: max,
                    concurrency,
                    checks_fencing,
                }
            },
        )
}

proptest::proptest! {
    #![proptest_config(config())]

    #[test]
    fn services_round_trip_in_both_versions(record in services()) {
        let first = v1::FileWire { schema: 1, services: vec![(&record).into()], ..Default::default() };
        let second = v2::FileWire { schema: 2, services: vec![(&record).into()], ..Default::default() };
        let texts = [toml::to_string(&first), toml::to_string(&second)];
        for text in texts {
            let parsed = file::parse(&text.expect("records can be serialized")).expect("the file can be parsed");
            prelude::prop_assert_eq!(&parsed.set.services, std::slice::from_ref(&record));
        }
    }

    #[test]
    fn workspaces_round_trip_in_both_versions(record in workspaces()) {
        let first = v1::FileWire { schema: 1, workspaces: vec![(&record).into()], ..Default::default() };
        let second = v2::FileWire { schema: 2, workspaces: vec![(&record).into()], ..Default::default() };
        let texts = [toml::to_string(&first), toml::to_string(&second)];
        for text in texts {
            let parsed = file::parse(&text.expect("records can be serialized")).expect("the file can be parsed");
            prelude::prop_assert_eq!(&parsed.set.workspaces, std::slice::from_ref(&record));
        }
    }

    #[test]
    fn pools_round_trip_in_both_versions(record in pools()) {
        let first = v1::FileWire { schema: 1, pools: vec![(&record).into()], ..Default::default() };
        let second = v2::FileWire { schema: 2, pools: vec![(&record).into()], ..Default::default() };
        let texts = [toml::to_string(&first), toml::to_string(&second)];
        for text in texts {
            let parsed = file::parse(&text.expect("records can be serialized")).expect("the file can be parsed");
            prelude::prop_assert_eq!(&parsed.set.pools, std::slice::from_ref(&record));
        }
    }

    #[test]
    fn arbitrary_text_parses_or_fails(text in "(schema = [0-3]\n)?(\\[\\[(pool|service|workspace)\\]\\]\n)?\\PC{0,200}") {
        if let Err(cause) = file::parse(&text) {
            prelude::prop_assert!(!cause.to_string().is_empty());
        }
    }

    #[test]
    fn damaged_files_parse_or_fail(from in 0_usize..2_000, length in 0_usize..40, into in "\\PC{0,8}") {
        let mut text = EXAMPLE_V2.to_owned();
        let from = from.min(text.len());
        let until = (from + length).min(text.len());
        if text.is_char_boundary(from) && text.is_char_boundary(until) {
            text.replace_range(from..until, &into);
        }
        let _ = file::parse(&text).map(|file| bundle::RecordBundle::new(file.entries).to_set(quantity::RevisionNumber::new(1)));
    }

    #[test]
    fn arbitrary_rows_parse_or_fail(value in "\\PC{0,200}") {
        let _ = revision::HeadRow::parse(&value);
        let _ = revision::RevisionRow::parse(&value);
    }
}
