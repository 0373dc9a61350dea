//! Sizes of messages between daemons, and the time to seal and open datagrams.

use thistlesill_core::message::{CustomerUsage, Datagram, Gauge, PeerBody, Usage};
use thistlesill_core::report::{CacheEvent, Pressure};
use thistlesill_core::seal::SharedKey;
use thistlesill_core::{Millis, Stamp};

use super::cores::{heartbeat, report, sighting};
use super::fit::{Point, Slope, min_micros};

pub(super) fn slopes() -> Vec<Slope> {
    vec![
        bytes("beat: changed sightings", "sighting", &[0, 4, 12], |n| {
            PeerBody::Beat(heartbeat(9, 9, (0..n).map(sighting).collect()))
        }),
        bytes("beat: gauges of leaders", "gauge", &[0, 4, 24], |n| {
            let mut heartbeat = heartbeat(9, 9, Vec::new());
            heartbeat.gauges = (0..n).map(gauge).collect();
            PeerBody::Beat(heartbeat)
        }),
        bytes("usage: customers", "customer", &[0, 10, 100], |n| {
            let customers = (0..n).map(|n| CustomerUsage {
                customer: format!("customer-{n:03}").into(),
                running: 5,
            });
            PeerBody::Usage(Usage {
                customers: customers.collect(),
            })
        }),
        bytes("head", "message", &[1], |_| PeerBody::Head {
            revision: 123_456,
        }),
        report_size(),
        sealing(),
        opening(),
    ]
}

fn gauge(n: usize) -> Gauge {
    Gauge {
        instance: sighting(n).instance,
        pressure: Pressure {
            running: 12,
            waiting: 3,
            backlog: 4_000,
            speed: 900,
            accepted: 123_456,
            age: Millis::new(700),
        },
        cache: Vec::new(),
    }
}

/// Measures the size of a target's report by its number of cache events.
fn report_size() -> Slope {
    let point = |events: usize| {
        let mut report = report(0);
        report.cache = (0..events)
            .map(|n| CacheEvent {
                seq: n as u64 + 1_000,
                prefix: u64::MAX / 3 + n as u64,
                added: true,
            })
            .collect();
        let body = serde_json::to_vec(&report).expect("a report is valid JSON");
        Point {
            size: events as f64,
            cost: body.len() as f64,
        }
    };
    Slope {
        name: "probe: body of a report",
        per: "cache event",
        unit: "bytes",
        points: [0, 4, 8].into_iter().map(point).collect(),
    }
}

fn datagram(body: PeerBody) -> Datagram {
    Datagram {
        from: "hall-p0".into(),
        stamp: Stamp {
            wall: 1_790_000_000_000,
            count: 3,
        },
        body,
    }
}

fn key() -> SharedKey {
    SharedKey::new(b"0123456789abcdef0123456789abcdef".as_slice())
}

fn bytes(
    name: &'static str,
    per: &'static str,
    sizes: &[usize],
    body: impl Fn(usize) -> PeerBody,
) -> Slope {
    let point = |size: &usize| Point {
        size: *size as f64,
        cost: key().seal(&datagram(body(*size))).len() as f64,
    };
    Slope {
        name,
        per,
        unit: "bytes",
        points: sizes.iter().map(point).collect(),
    }
}

fn heartbeat_datagram(n: usize) -> Datagram {
    datagram(PeerBody::Beat(heartbeat(
        9,
        9,
        (0..n).map(sighting).collect(),
    )))
}

fn timed(name: &'static str, cost: impl Fn(usize) -> f64) -> Slope {
    let point = |size: usize| Point {
        size: size as f64,
        cost: cost(size),
    };
    Slope {
        name,
        per: "sighting",
        unit: "us",
        points: [0, 4, 12].into_iter().map(point).collect(),
    }
}

fn sealing() -> Slope {
    let key = key();
    timed("datagram sealed", |n| {
        let datagram = heartbeat_datagram(n);
        min_micros(5, 2_000, |_| {
            assert!(!key.seal(&datagram).is_empty());
        })
    })
}

fn opening() -> Slope {
    let key = key();
    timed("datagram opened", |n| {
        let bytes = key.seal(&heartbeat_datagram(n));
        min_micros(5, 2_000, |_| {
            assert!(key.open::<Datagram>(&bytes).is_ok());
        })
    })
}
