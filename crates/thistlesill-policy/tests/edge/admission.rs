//! Tests of admission, by route, key and proof of freshness.

use rand::SeedableRng;
use rand::rngs::SmallRng;
use thistlesill_core::edge::{Bounds, Catalog, Limits, Route, RouteKind, Service, ServiceShare};
use thistlesill_core::{ErrorKind, Millis};
use thistlesill_policy::edge::admission::{
    Admission, AdmissionRequest, Key, LateRequest, SentBy, accepts_while_stopping, admit,
};
use thistlesill_policy::edge::freshness::{Freshness, MARGIN};

const NOW: Millis = Millis::new(1_000_000);
const REVOKE: Millis = Millis::new(5_000);

fn bounds() -> Bounds {
    Bounds {
        revoke: Some(REVOKE),
        apply: Millis::new(2_000),
        drain: Millis::new(2_000),
        grace: Millis::new(8_000),
        retry_ratio: 0.2,
        retry_slack: 100.0,
    }
}

fn route(name: &str, prefix: &str, public: bool) -> Route {
    Route {
        name: name.into(),
        prefix: prefix.into(),
        shares: vec![ServiceShare {
            service: "s".into(),
            weight: 1,
        }],
        kind: RouteKind::Once,
        attempts: 1,
        timeout: Millis::new(2_000),
        aim: Millis::new(300),
        pause: None,
        priority: 2,
        public,
        resumable: false,
    }
}

fn service() -> Service {
    Service {
        health: "/health".into(),
        name: "s".into(),
        connections: 10,
        warmup: None,
        engine: None,
    }
}

fn catalog() -> Catalog {
    let limits = Limits {
        head_bytes: 16_384,
        body_bytes: 1 << 20,
        idle: Millis::new(15_000),
    };
    let mut catalog = Catalog::new(7, limits);
    catalog.add_route("a.example", route("short", "/a/", false));
    catalog.add_route("a.example", route("long", "/a/b/", false));
    catalog.add_route("a.example", route("open", "/open/", true));
    catalog.add_service(service());
    catalog.add_key("k1", "customer".into(), Some(1));
    catalog
}

fn ask(path: &str, key: Key<'_>, proved: Option<Millis>) -> Result<Admission, ErrorKind> {
    ask_of(&catalog(), path, key, proved)
}

fn ask_of(
    catalog: &Catalog,
    path: &str,
    key: Key<'_>,
    proved: Option<Millis>,
) -> Result<Admission, ErrorKind> {
    let mut fresh = Freshness::default();
    if let Some(at) = proved {
        fresh.confirm(at);
    }
    let request = AdmissionRequest {
        host: "A.example:80",
        path,
        key,
        deadline: Some(Millis::new(1_500)),
    };
    let rng = &mut SmallRng::seed_from_u64(1);
    admit(Some(catalog), &fresh, &bounds(), &request, NOW, rng)
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let admitted = ask("/a/b/c", Key::Given("k1"), Some(NOW)).expect("it is admitted");
    assert_eq!(&*admitted.route.name, "long");
    assert_eq!(
        admitted.priority, 1,
        "the customer's priority takes precedence"
    );
    assert_eq!(admitted.timeout, Millis::new(1_500));
    let admitted = ask("/a/x", Key::Given("k1"), Some(NOW)).expect("it is admitted");
    assert_eq!(&*admitted.route.name, "short");
    assert_eq!(
        ask("/b/", Key::Given("k1"), Some(NOW)).err(),
        Some(ErrorKind::NotFound)
    );
}

#[test]
fn a_key_is_needed_known_and_single() {
    for key in [Key::Missing, Key::Unusable, Key::Given("k2")] {
        assert_eq!(
            ask("/a/x", key, Some(NOW)).err(),
            Some(ErrorKind::Unauthorized)
        );
    }
    let open = ask("/open/x", Key::Missing, Some(NOW)).expect("the route is public");
    assert_eq!(open.customer, None);
}

/// Guards against a catalog that lets all requests in once no customer has a key any more.
#[test]
fn without_any_key_only_public_routes_admit_requests() {
    let mut catalog = Catalog::new(8, catalog().limits());
    catalog.add_route("a.example", route("short", "/a/", false));
    catalog.add_route("a.example", route("open", "/open/", true));
    catalog.add_service(service());
    catalog.require_keys();
    for key in [Key::Missing, Key::Unusable, Key::Given("k1")] {
        assert_eq!(
            ask_of(&catalog, "/a/x", key, Some(NOW)).err(),
            Some(ErrorKind::Unauthorized)
        );
    }
    assert!(ask_of(&catalog, "/open/x", Key::Missing, None).is_ok());
    let refused = ask_of(&catalog, "/a/x", Key::Given("k1"), None).err();
    assert_eq!(
        refused,
        Some(ErrorKind::NotReady),
        "it may have a key again"
    );
}

#[test]
fn a_key_counts_only_while_the_catalog_is_known_to_be_the_newest() {
    let oldest = NOW - (REVOKE - MARGIN);
    let just_valid = oldest + Millis::new(1);
    assert!(ask("/a/x", Key::Given("k1"), Some(just_valid)).is_ok());
    for proved in [Some(oldest), None] {
        let refused = ask("/a/x", Key::Given("k1"), proved).err();
        assert_eq!(
            refused,
            Some(ErrorKind::NotReady),
            "not 401: whether the key is valid is unknown"
        );
    }
    assert!(ask("/open/x", Key::Missing, None).is_ok());
}

#[test]
fn an_older_proof_does_not_replace_a_younger_one() {
    let mut fresh = Freshness::default();
    fresh.confirm(NOW);
    fresh.confirm(NOW - Millis::new(9_000));
    assert_eq!(fresh.age(NOW), Some(Millis::ZERO));
}

/// Guards against a time of another clock that makes a proof count as young.
#[test]
fn a_proof_from_a_time_to_come_admits_no_key() {
    let ahead = NOW + Millis::new(9_000);
    let refused = ask("/a/x", Key::Given("k1"), Some(ahead)).err();
    assert_eq!(refused, Some(ErrorKind::NotReady));
}

#[test]
fn without_a_catalog_nothing_is_said_of_routes_or_keys() {
    let request = AdmissionRequest {
        host: "a.example",
        path: "/nowhere/",
        key: Key::Missing,
        deadline: None,
    };
    let rng = &mut SmallRng::seed_from_u64(1);
    let refused = admit(None, &Freshness::default(), &bounds(), &request, NOW, rng).err();
    assert_eq!(refused, Some(ErrorKind::NotReady));
}

/// Returns whether a request that arrives `gone` milliseconds after the signal is accepted.
fn is_accepted(sender: SentBy, gone: u64, limit: u64, usual: Option<u64>) -> bool {
    let request = LateRequest {
        sender,
        limit: Millis::new(limit),
        usual: usual.map(Millis::new),
    };
    accepts_while_stopping(request, Millis::new(gone), Millis::new(7_600))
}

#[test]
fn a_stopping_daemon_takes_only_what_ends_in_time() {
    assert!(is_accepted(SentBy::Caller, 2_500, 6_000, None));
    assert!(!is_accepted(SentBy::Caller, 2_700, 6_000, None));
    assert!(is_accepted(SentBy::Caller, 6_500, 1_000, None));
    assert!(!is_accepted(SentBy::Caller, 6_700, 1_000, None));
    // A peer can choose another daemon at once.
    assert!(!is_accepted(SentBy::Peer, 2_000, 6_000, None));
    assert!(is_accepted(SentBy::Peer, 2_000, 1_000, None));
}

/// Guards against a request that is passed on although those of its service usually last longer than
/// the daemon does.
#[test]
fn a_stopping_daemon_takes_what_usually_lasts_longer() {
    assert!(is_accepted(SentBy::Caller, 2_500, 6_000, Some(4_000)));
    assert!(!is_accepted(SentBy::Caller, 2_500, 6_000, Some(4_100)));
    assert!(is_accepted(SentBy::Caller, 1_000, 6_000, Some(4_100)));
    // A request lasts no longer than its limit.
    assert!(is_accepted(SentBy::Caller, 2_500, 5_000, Some(60_000)));
    // Later ones go by their limits, whatever is usual.
    assert!(!is_accepted(SentBy::Caller, 2_700, 6_000, Some(10)));
}
