//! Metrics of the daemon, served in the Prometheus text format.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use thistlesill_core::{Millis, ServiceName};
use thistlesill_policy::edge::fleet::Census;
use tokio::net::TcpListener;

use crate::probes;
use crate::ranking::Ranking;

/// Upper bounds of the buckets of the latency histograms, in milliseconds.
const LATENCY_BUCKETS_MS: [f64; 12] = [
    5.0, 10.0, 25.0, 50.0, 100.0, 200.0, 300.0, 500.0, 1_000.0, 2_000.0, 5_000.0, 10_000.0,
];

/// Installs the metrics recorder of the process; returns `None` if that fails.
pub(crate) fn install() -> Option<PrometheusHandle> {
    let suffix = Matcher::Suffix("_ms".to_owned());
    let builder = PrometheusBuilder::new().set_buckets_for_metric(suffix, &LATENCY_BUCKETS_MS);
    let recorder = match builder {
        Ok(builder) => builder.build_recorder(),
        Err(error) => {
            log::error!("metrics: not recorded: {error}");
            return None;
        }
    };
    let handle = recorder.handle();
    match metrics::set_global_recorder(recorder) {
        Ok(()) => Some(handle),
        Err(error) => {
            log::error!("metrics: not recorded: {error}");
            None
        }
    }
}

/// Records the census of a service's fleet; `elapsed` is the time since the previous one.
///
/// The two counters are the measures that operators judge the daemon by: seconds of missing
/// groups, and seconds of targets that were in no group.
pub(crate) fn record_census(service: &ServiceName, census: &Census, elapsed: Millis) {
    let service = service.to_string();
    for model in &census.models {
        let labels = [
            ("service", service.clone()),
            ("model", model.model.to_string()),
        ];
        metrics::gauge!("thistlesill_edge_groups_open", &labels).set(model.open as f64);
        metrics::gauge!("thistlesill_edge_groups_fair", &labels).set(model.desired);
        metrics::gauge!("thistlesill_edge_work_asked", &labels).set(model.demand);
    }
    let labels = [("service", service)];
    let seconds = elapsed.get() as f64 / 1_000.0;
    let missing = census.missing() * seconds;
    let idle = census.idle() as f64 * seconds;
    metrics::gauge!("thistlesill_edge_targets_idle", &labels).set(census.idle() as f64);
    metrics::counter!("thistlesill_edge_group_downtime_seconds_total", &labels)
        .increment(missing.round() as u64);
    metrics::counter!("thistlesill_edge_stranded_seconds_total", &labels)
        .increment(idle.round() as u64);
}

/// Counts the decision on a request of a service that ranks its callers.
pub(crate) fn record_decision(ranking: &Ranking) {
    let ground = ranking.ground_name().unwrap_or("none");
    let decision = ranking.decision.name();
    metrics::counter!("thistlesill_edge_decisions_total", "decision" => decision, "ground" => ground)
        .increment(1);
    if let Some(standing) = ranking.standing_name() {
        metrics::counter!("thistlesill_edge_returns_total", "standing" => standing).increment(1);
    }
}

/// Serves the metrics; never returns.
pub(crate) async fn serve(listener: TcpListener, handle: PrometheusHandle) {
    let answer = move || Response::new(Full::new(Bytes::from(handle.render())));
    probes::serve(listener, "metrics", answer).await;
}
