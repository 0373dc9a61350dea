//! The daemon's metrics, served as text.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use tokio::net::TcpListener;

/// Bounds of the latency histograms, in milliseconds.
const BOUNDS: [f64; 12] = [
    5.0, 10.0, 25.0, 50.0, 100.0, 200.0, 300.0, 500.0, 1_000.0, 2_000.0, 5_000.0, 10_000.0,
];

/// Installs the recorder of the process.
pub(crate) fn install() -> Option<PrometheusHandle> {
    let suffix = Matcher::Suffix("_ms".to_owned());
    let builder = PrometheusBuilder::new().set_buckets_for_metric(suffix, &BOUNDS);
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

/// Serves the metrics, for ever.
pub(crate) async fn serve(listener: TcpListener, handle: PrometheusHandle) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let handle = handle.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |_: Request<Incoming>| {
                let text = handle.render();
                async move { Ok::<_, hyper::Error>(Response::new(Full::new(Bytes::from(text)))) }
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::debug!("metrics: a connection ended: {error}");
            }
        });
    }
}
