//! HTTP server for callers: the `OpenAI` completion protocol, plain services under their own paths,
//! and the load balancer's health check.

mod head;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use http_body_util::BodyExt;
use rand::RngExt;
use salvo::http::StatusCode;
use salvo::hyper::body::Body;
use salvo::hyper::{Method, Uri};
use salvo::prelude::{Depot, FlowCtrl, Request, Response, Router, handler};
use salvo::server::ServerHandle;
use salvo::sse::{self, SseEvent};
use salvo::writing::{Json, Text};
use thistlesill_core::config::{DaemonConfig, Limits};
use thistlesill_core::error::ErrorBody;
use thistlesill_core::seal::sha256_hex;
use thistlesill_core::{CustomerId, ErrorKind, RequestId, ServiceName};
use thistlesill_net::admin::{bearer, server, write_error};
use thistlesill_net::memory::{HeldBuffer, MemoryBudget};
use thistlesill_net::sync::CurrentSettings;
use thistlesill_policy::router::{Arrival, ResumePoint, Wanted};
use thistlesill_policy::serving::GroupKey;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

use self::head::{Head, bad, resume_point, text_header};
use crate::daemon::LoopEvent;
use crate::openai::{self, Completion, Dialect};
use crate::pending::{
    CallerGuard, CallerRequest, CompleteReply, Pending, PlainCall, Reply, StreamEnd,
};

/// Response header with the request id, on every answer to a routed request.
const REQUEST_HEADER: &str = "x-request-id";

/// Number of bodies of the largest size that there is memory for, whatever the settings say: a single one
/// and the copy of it that an engine gets must always pass.
const MIN_HELD_BODIES: usize = 4;

type Events = mpsc::UnboundedSender<LoopEvent>;

/// The running HTTP server for callers.
pub struct Callers {
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl Callers {
    /// Stops accepting connections and waits until the callers have read their answers, for `limit`
    /// at most.
    ///
    /// A process that exits right after its last request cuts off callers that read more slowly
    /// than their targets answered: of answers of 16 MiB none arrived complete.
    pub async fn finish(self, limit: Duration) {
        self.handle.stop_graceful(limit);
        if let Err(error) = self.task.await {
            log::error!("callers: server task failed: {error}");
        }
    }
}

/// Starts the HTTP server for callers in a task of its own.
///
/// # Panics
///
/// If the settings have no address for callers, which their check rules out, or if that address
/// cannot be bound.
pub fn spawn(config: &DaemonConfig, shelf: CurrentSettings, events: Events) -> Callers {
    let address = config.callers.expect("checked settings of a router");
    let memory = MemoryBudget::default();
    let min_bytes = MIN_HELD_BODIES * config.limits.body_bytes;
    memory.set_limit(config.limits.held_bytes.max(min_bytes));
    let shared = Arc::new(Shared {
        shelf,
        events,
        limits: config.limits,
        memory,
    });
    let server = server(address, &config.limits);
    let handle = server.handle();
    let task = tokio::spawn(async move { server.serve(routes(&shared)).await });
    Callers { handle, task }
}

struct Shared {
    shelf: CurrentSettings,
    events: Events,
    limits: Limits,
    /// Bytes that are held of bodies.
    memory: MemoryBudget,
}

fn routes(shared: &Arc<Shared>) -> Router {
    let on = |endpoint: Endpoint| EndpointHandler {
        shared: shared.clone(),
        endpoint,
    };
    Router::new()
        .push(
            Router::with_path("v1/chat/completions").post(on(Endpoint::Completions(Dialect::Chat))),
        )
        .push(Router::with_path("v1/completions").post(on(Endpoint::Completions(Dialect::Text))))
        .push(Router::with_path("v1/models").get(on(Endpoint::Models)))
        .push(Router::with_path("services/{name}/{**rest}").goal(on(Endpoint::PlainService)))
        .push(Router::with_path("healthz").get(on(Endpoint::Health)))
        .push(Router::with_path("{**rest}").goal(on(Endpoint::Unknown)))
}

/// Endpoint that a route leads to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Endpoint {
    Completions(Dialect),
    Models,
    PlainService,
    Health,
    Unknown,
}

#[derive(Clone)]
struct EndpointHandler {
    shared: Arc<Shared>,
    endpoint: Endpoint,
}

#[handler]
impl EndpointHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let result = match self.endpoint {
            Endpoint::Completions(dialect) => self.complete(dialect, req, res).await,
            Endpoint::PlainService => self.plain_service(req, res).await,
            Endpoint::Models => self.models(req, res).await,
            Endpoint::Health => {
                self.health(res).await;
                Ok(())
            }
            Endpoint::Unknown => Err(ErrorBody::new(ErrorKind::NotFound, None)),
        };
        if let Err(body) = result {
            write_error(res, &body);
        }
    }
}

impl EndpointHandler {
    /// Returns the customer that the bearer token of the request belongs to.
    fn customer(&self, req: &Request) -> Result<CustomerId, ErrorBody> {
        let Some(tree) = self.shared.shelf.get() else {
            return Err(ErrorBody::new(ErrorKind::NotReady, None));
        };
        let token = bearer(req).unwrap_or_default();
        let found = tree.customer_of(&sha256_hex(token.as_bytes())).cloned();
        found.ok_or_else(|| ErrorBody::new(ErrorKind::Unauthorized, None))
    }

    /// Reads the body of a request.
    async fn body(&self, req: &mut Request) -> Result<Bytes, ErrorBody> {
        let refused = |kind| ErrorBody::new(kind, None);
        let max_bytes = self.shared.limits.body_bytes;
        let mut body = req.take_body();
        let size = Body::size_hint(&body);
        if size.lower() > max_bytes as u64 {
            return Err(refused(ErrorKind::BodyTooLarge));
        }
        let length = size.exact().map_or(max_bytes, |bytes| bytes as usize);
        let mut buffer = HeldBuffer::new(&self.shared.memory, length);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| refused(broken_body(&error)))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if buffer.len() + data.len() > max_bytes {
                return Err(refused(ErrorKind::BodyTooLarge));
            }
            if !buffer.push(&data) {
                return Err(refused(ErrorKind::MemoryShort));
            }
        }
        Ok(buffer.finish())
    }

    /// Holds the memory of the copy of a body that an engine gets, with the body.
    fn hold_copy(&self, body: Bytes) -> Result<Bytes, ErrorBody> {
        let mut copy = self.shared.memory.reservation();
        if !copy.resize(body.len()) {
            return Err(ErrorBody::new(ErrorKind::MemoryShort, None));
        }
        Ok(copy.hold(body))
    }

    async fn complete(
        &self,
        dialect: Dialect,
        req: &mut Request,
        res: &mut Response,
    ) -> Result<(), ErrorBody> {
        let customer = self.customer(req)?;
        let body = self.body(req).await?;
        let hash = sha256_hex(&body);
        let body = self.hold_copy(body)?;
        let completion = openai::parse(dialect, body).map_err(|e| bad(&e.text))?;
        let head = Head::read(req)?;
        let resume = resume_point(req)?;
        let request = resume.as_ref().map_or_else(new_request, |id| id.request);
        let arrival = Arrival {
            request,
            customer,
            wanted: Wanted::Model(completion.model.clone()),
            prefix: completion.prefix,
            deadline: head.deadline,
            priority: head.priority,
            repeatable: head.repeatable,
            key: head.key,
            body: hash,
            resume: resume.map(|id| ResumePoint {
                key: GroupKey {
                    group: id.group,
                    epoch: id.epoch,
                },
                offset: id.offset + 1,
            }),
        };
        let caller_request = CallerRequest::Completion(Box::new(completion.clone()));
        let exchange = self.submit(arrival, caller_request, res)?;
        if completion.streamed {
            exchange.respond_stream(completion, res).await
        } else {
            exchange.respond_complete(res).await
        }
    }

    async fn plain_service(&self, req: &mut Request, res: &mut Response) -> Result<(), ErrorBody> {
        let customer = self.customer(req)?;
        let body = self.body(req).await?;
        let head = Head::read(req)?;
        let name = req.param::<String>("name").unwrap_or_default();
        let plain_call = PlainCall {
            method: req.method().clone(),
            uri: service_uri(req, &name).ok_or_else(|| bad("the path is malformed"))?,
            media: text_header(req, "content-type"),
            key: head.key.clone(),
            body: body.clone(),
        };
        let safe = matches!(*req.method(), Method::GET | Method::HEAD);
        let arrival = Arrival {
            request: new_request(),
            customer,
            wanted: Wanted::Service(ServiceName::from(name)),
            prefix: None,
            deadline: head.deadline,
            priority: head.priority,
            repeatable: if safe { head.repeatable } else { Some(false) },
            key: head.key,
            body: sha256_hex(&body),
            resume: None,
        };
        let exchange = self.submit(arrival, CallerRequest::Plain(Box::new(plain_call)), res)?;
        exchange.respond_complete(res).await
    }

    async fn models(&self, req: &Request, res: &mut Response) -> Result<(), ErrorBody> {
        self.customer(req)?;
        let (reply, answer) = oneshot::channel();
        drop(self.shared.events.send(LoopEvent::Models(reply)));
        let models = answer
            .await
            .map_err(|_| ErrorBody::new(ErrorKind::NotReady, None))?;
        res.render(Json(openai::model_list(&models)));
        Ok(())
    }

    /// Answers the load balancer's health check, which fails as soon as the router is to stop.
    async fn health(&self, res: &mut Response) {
        let (reply, answer) = oneshot::channel();
        drop(self.shared.events.send(LoopEvent::Health(reply)));
        if answer.await.unwrap_or(false) {
            res.render(Text::Plain("ok\n"));
        } else {
            write_error(res, &ErrorBody::new(ErrorKind::NotReady, None));
        }
    }

    /// Sends a request to the loop.
    fn submit(
        &self,
        arrival: Arrival,
        caller_request: CallerRequest,
        res: &mut Response,
    ) -> Result<Exchange, ErrorBody> {
        let request = arrival.request;
        drop(res.add_header(REQUEST_HEADER, request.to_string(), true));
        let (reply, replies) = mpsc::unbounded_channel();
        let pending = Box::new(Pending {
            caller_request,
            reply,
            repeatable: arrival.repeatable != Some(false) && arrival.key.is_none(),
            answer: None,
            attempt: None,
        });
        let event = LoopEvent::Arrive {
            arrival: Box::new(arrival),
            pending,
        };
        let guard = CallerGuard::new(request, self.shared.events.clone());
        if self.shared.events.send(event).is_err() {
            return Err(ErrorBody::new(ErrorKind::NotReady, None));
        }
        Ok(Exchange {
            request,
            replies,
            guard,
        })
    }
}

/// The HTTP exchange of one request, which receives its replies from the loop.
struct Exchange {
    request: RequestId,
    replies: mpsc::UnboundedReceiver<Reply>,
    guard: CallerGuard,
}

impl Exchange {
    /// Answers with a complete body.
    async fn respond_complete(mut self, res: &mut Response) -> Result<(), ErrorBody> {
        loop {
            match self.replies.recv().await {
                Some(Reply::Piece { .. }) => {}
                Some(Reply::Complete(complete_reply)) => {
                    self.guard.done();
                    write_complete(res, complete_reply);
                    return Ok(());
                }
                Some(Reply::Failed(body)) => {
                    self.guard.done();
                    return Err(body);
                }
                None => return Err(ErrorBody::new(ErrorKind::Internal, None)),
            }
        }
    }

    /// Answers with a stream once the first piece has arrived. A failure before that is answered
    /// with its own status.
    async fn respond_stream(
        mut self,
        completion: Completion,
        res: &mut Response,
    ) -> Result<(), ErrorBody> {
        match self.replies.recv().await {
            Some(Reply::Failed(body)) => {
                self.guard.done();
                Err(body)
            }
            Some(first) => {
                sse::stream(res, self.event_stream(completion, first));
                Ok(())
            }
            None => Err(ErrorBody::new(ErrorKind::Internal, None)),
        }
    }

    fn event_stream(
        self,
        completion: Completion,
        first: Reply,
    ) -> impl Stream<Item = Result<SseEvent, std::convert::Infallible>> + Send {
        let state = EventWriter {
            exchange: self,
            completion,
            next: Some(first),
            queue: Vec::new(),
            finished: false,
        };
        futures_util::stream::unfold(state, |mut state| async move {
            let event = state.next_event().await?;
            Some((Ok(event), state))
        })
    }
}

/// Turns replies into server-sent events.
struct EventWriter {
    exchange: Exchange,
    completion: Completion,
    next: Option<Reply>,
    /// Events to send before the next reply, in reverse order.
    queue: Vec<SseEvent>,
    finished: bool,
}

impl EventWriter {
    async fn next_event(&mut self) -> Option<SseEvent> {
        if let Some(event) = self.queue.pop() {
            if self.queue.is_empty() && self.finished {
                self.exchange.guard.done();
            }
            return Some(event);
        }
        if self.finished {
            return None;
        }
        let reply = match self.next.take() {
            Some(reply) => reply,
            None => self.exchange.replies.recv().await?,
        };
        let request = self.exchange.request;
        match reply {
            Reply::Piece { id, text } => {
                let data = self.completion.chunk(request, Some(&text), None);
                Some(SseEvent::default().id(id.to_string()).text(data))
            }
            Reply::Complete(complete_reply) => {
                self.finished = true;
                self.queue = self.final_events(request, complete_reply.end);
                self.queue.pop()
            }
            Reply::Failed(body) => {
                self.finished = true;
                self.exchange.guard.done();
                let text = serde_json::to_string(&body).unwrap_or_default();
                Some(SseEvent::default().name("error").text(text))
            }
        }
    }

    /// Returns the last events of a stream, in reverse order.
    fn final_events(&self, request: RequestId, end: Option<StreamEnd>) -> Vec<SseEvent> {
        let mut events = vec![SseEvent::default().text("[DONE]")];
        let Some(end) = end else { return events };
        let data = self.completion.chunk(request, None, Some(&end.reason));
        let last = SseEvent::default().text(data);
        events.push(match &end.id {
            Some(id) => last.id(id.to_string()),
            None => last,
        });
        if let Some(text) = &end.text {
            let data = self.completion.chunk(request, Some(text), None);
            events.push(SseEvent::default().text(data));
        }
        events
    }
}

/// Returns the kind of error of a body that ended too early, or took too long.
fn broken_body(error: &std::io::Error) -> ErrorKind {
    match error.kind() {
        std::io::ErrorKind::TimedOut => ErrorKind::SlowCaller,
        _ => ErrorKind::BadRequest,
    }
}

fn new_request() -> RequestId {
    RequestId::new(rand::rng().random())
}

/// Returns path and query at the service, without the router's own prefix.
fn service_uri(req: &Request, name: &str) -> Option<Uri> {
    let full = req.uri().path_and_query()?.as_str();
    let rest = full.strip_prefix("/services/")?.strip_prefix(name)?;
    let path = if rest.starts_with('/') {
        rest.to_owned()
    } else {
        format!("/{rest}")
    };
    path.parse().ok()
}

fn write_complete(res: &mut Response, complete_reply: CompleteReply) {
    let status = StatusCode::from_u16(complete_reply.status);
    res.status_code(status.unwrap_or(StatusCode::BAD_GATEWAY));
    drop(res.add_header("content-type", complete_reply.media, true));
    drop(res.write_body(complete_reply.body));
}
