//! Support for the tests: a small fleet with short periods.

use std::time::Duration;

use thistlesill_core::config::{Limits, Periods};
use thistlesill_core::seal::sha256_hex;
use thistlesill_core::settings::{Branch, Cover, Shape, TreeFile};
use thistlesill_fakes::{DomainSpec, EngineOptions, FleetFile, HallSpec};
use thistlesill_standins::harness::{Deployment, Options};

/// Model that the small fleet serves.
pub(crate) const MODEL: &str = "m";
/// Servers of the small fleet: two groups and a service.
pub(crate) const SERVERS: usize = 3;
/// Generous timeout for changes that should come soon.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns a fleet of one hall with nine instances (two groups of four and a spare) and a plain
/// service.
pub(crate) fn small_fleet() -> Options {
    Options {
        fleet: FleetFile {
            platform: "127.0.0.1:1".parse().expect("an address"),
            targets: "127.0.0.1".parse().expect("an address"),
            first_port: 1,
            region: "r".into(),
            halls: vec![HallSpec {
                hall: "h".into(),
                domains: vec![DomainSpec {
                    domain: "d".into(),
                    generation: "new".into(),
                    instances: 9,
                    accelerators: 8,
                }],
                services: vec!["booking".into()],
            }],
            engine: EngineOptions {
                load_ms: 200,
                ..EngineOptions::default()
            },
            key_file: "key".into(),
        },
        tree: settings(),
        routers: 2,
        planners: 2,
        periods: Periods {
            probe_ms: 300,
            beat_ms: 150,
            head_ms: 300,
            list_ms: 300,
            renew_ms: 400,
            lease_ms: 2_500,
            plan_ms: 150,
            balancer_ms: 300,
            stop_ms: 60_000,
        },
        limits: Limits::default(),
    }
}

fn settings() -> TreeFile {
    let root = Branch {
        model: Some(MODEL.into()),
        version: Some("1".into()),
        shapes: Some(vec![Shape {
            generation: "new".into(),
            instances: 4,
        }]),
        downtime_weight: Some(0.8),
        spares: Some(1),
        checks_orders: Some(true),
        presence_ms: Some(2_000),
        drain_ms: Some(60_000),
        slots: Some(16),
        loads: Some(4),
        deadline_ms: Some(30_000),
        attempts: Some(6),
        retry_percent: Some(100),
        key_required: Some(true),
        ..Branch::default()
    };
    let customer = |name: &str| Branch {
        covers: Some(Cover::Customer(name.into())),
        token_sha256: Some(sha256_hex(format!("{name}-demo-token").as_bytes())),
        ..Branch::default()
    };
    let branches = [
        ("/".to_owned(), root),
        ("/lowell".to_owned(), customer("lowell")),
        ("/nashua".to_owned(), customer("nashua")),
    ];
    TreeFile {
        revision: None,
        branches: branches.into(),
    }
}

/// Starts the small fleet and waits until its two groups and its service serve.
pub(crate) async fn serving() -> Deployment {
    serving_with(small_fleet()).await
}

/// Starts a variant of the small fleet and waits until its two groups and its service serve.
pub(crate) async fn serving_with(options: Options) -> Deployment {
    let deployment = Deployment::start(options).await;
    deployment.put_settings();
    assert!(
        deployment.wait_servers(SERVERS, WAIT_TIMEOUT).await,
        "the groups formed"
    );
    deployment
}
