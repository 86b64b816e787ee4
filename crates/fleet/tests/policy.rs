//! Routes, keys and weighted splits of a policy.

use std::collections;
use std::sync;

use samphiremoor_base::cases;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_fleet::policy;

fn route(name: &str, prefix: &str, weighted_services: &[(&str, u32)]) -> policy::RouteRule {
    let weighted_services = weighted_services
        .iter()
        .map(|(service, weight)| (service.parse().expect("the name is an identifier"), *weight));
    policy::RouteRule {
        name: name.into(),
        host: "desk.example".into(),
        prefix: prefix.into(),
        kind: policy::RouteKind::Once,
        timeout: time::Millis::new(1_000),
        latency_target: time::Millis::new(100),
        priority: quantity::PriorityLevel::new(1),
        services: weighted_services.collect(),
        max_attempts: 1,
        is_public: name == "public",
    }
}

fn desk_policy() -> policy::ServingPolicy {
    let routes = vec![
        route("short", "/a/", &[("one", 1)]),
        route("long", "/a/b/", &[("two", 1)]),
        route("public", "/open/", &[("one", 1)]),
    ];
    let workspace = policy::WorkspaceRule {
        id: "clinic".parse().expect("the name is an identifier"),
        priority: None,
        quota: None,
    };
    policy::ServingPolicy::new(
        quantity::RevisionNumber::new(3),
        routes,
        collections::BTreeMap::new(),
        policy::CallerLimits::default(),
        vec![(workspace, vec!["key-1".into(), "key-2".into()])],
    )
}

fn check_route(host: &str, path: &str, expected: Option<&str>) {
    let policy = desk_policy();
    assert_eq!(policy.route(host, path).map(|route| &*route.name), expected);
}

fn check_key(path: &str, key: Option<&str>, expected: Result<Option<&str>, policy::PolicyRefusal>) {
    let policy = desk_policy();
    let route = policy.route("desk.example", path).expect("the route is declared").clone();
    let workspace = policy.workspace(&route, key).map(|rule| rule.map(|rule| rule.id.as_str()));
    assert_eq!(workspace, expected);
}

cases! {
    longest_prefix_wins => check_route("desk.example", "/a/b/c", Some("long"));
    shorter_prefix_matches_other_paths => check_route("desk.example", "/a/c", Some("short"));
    path_without_the_slash_of_the_prefix_has_no_route => check_route("desk.example", "/a", None);
    other_host_has_no_route => check_route("other.example", "/a/", None);
    known_key_selects_its_workspace => check_key("/a/", Some("key-2"), Ok(Some("clinic")));
    unknown_key_is_refused => check_key("/a/", Some("key-3"), Err(policy::PolicyRefusal::WrongKey));
    missing_key_is_refused => check_key("/a/", None, Err(policy::PolicyRefusal::WrongKey));
    public_route_needs_no_key => check_key("/open/", None, Ok(None));
    public_route_ignores_an_unknown_key => check_key("/open/", Some("key-3"), Ok(None));
}

#[test]
fn requests_are_split_by_weight() {
    let rule = route("split", "/", &[("old", 90), ("new", 10), ("none", 0)]);
    let count = |name: &str| {
        let draws = (0..1_000).map(|step| f64::from(step) / 1_000.0);
        draws
            .filter(|draw| rule.pick_service(*draw).is_some_and(|service| service.as_str() == name))
            .count()
    };
    assert_eq!((count("old"), count("new"), count("none")), (900, 100, 0));
}

#[test]
fn without_workspaces_no_key_is_needed() {
    let policy = policy::ServingPolicy::new(
        quantity::RevisionNumber::new(1),
        vec![route("short", "/a/", &[("one", 1)])],
        collections::BTreeMap::new(),
        policy::CallerLimits::default(),
        Vec::new(),
    );
    let route: sync::Arc<_> =
        policy.route("desk.example", "/a/").expect("the route is declared").clone();
    assert!(policy.workspace(&route, None).is_ok_and(|workspace| workspace.is_none()));
}
