//! The caller endpoint: reads a whole request, has it routed, and answers with a verdict.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, RwLock};
use std::time::Duration;

use reqwest::header::HeaderMap;
use rocket::data::{Data, ToByteUnit};
use rocket::http::{Header, Method, Status};
use rocket::response::Response;
use rocket::route::{Handler, Outcome, Route};
use rocket::Request;
use sandshelf_config::{ConfigSet, ServiceSpec};
use sandshelf_model::{Millis, RunVerdict, ServerId, WorkerId};
use sandshelf_platform::PlatformClient;
use sandshelf_route::{AttemptEnd, RequestInfo, RouteAction, RouteEvent};
use tokio::sync::mpsc::{Sender, UnboundedReceiver};

use crate::backend::{self, BackendAnswer, CallerRequest};
use crate::claim::{claim_key, release_key, ClaimOutcome, KeyClaim};
use crate::clock;
use crate::meters;
use crate::router::HostRouter;

/// The response header that says whether the request ran; set on every answer.
const VERDICT_HEADER: &str = "sandshelf-verdict";
/// The response header with the time until a retry in milliseconds; Retry-After, also set, has only whole seconds.
const RETRY_HEADER: &str = "sandshelf-retry-after-ms";
/// The request header with the caller's own time limit in milliseconds.
const DEADLINE_HEADER: &str = "sandshelf-deadline-ms";
/// The request header with the caller's key for a request that must not be repeated.
const KEY_HEADER: &str = "sandshelf-key";
/// The maximum length of a key, in bytes.
const MAX_KEY_BYTES: usize = 200;
/// The time until a retry after an error that persists until the configuration or the request is changed.
const RETRY_LATER_MS: Millis = 30_000;
/// The time until a retry while the store is unavailable or no configuration is known, or after a body that was cut off
/// or late.
const RETRY_SOON_MS: Millis = 1_000;

/// The state that the control thread publishes to the traffic threads; replaced as a whole, never modified.
#[derive(Clone, Debug, Default)]
pub struct TrafficView {
    /// The configuration in force; none before the first is known.
    pub set: Option<Arc<ConfigSet>>,
    /// The address of each backend server and the worker on which it runs.
    pub servers: HashMap<ServerId, (SocketAddr, WorkerId)>,
}

/// The latency of one backend server's answer, sent to the control thread.
#[derive(Clone, Debug)]
pub struct LatencySample {
    /// The service that answered.
    pub service: sandshelf_model::ServiceId,
    /// The worker on which the backend server runs.
    pub worker: WorkerId,
    /// The time from sending the request to its whole answer.
    pub latency_ms: Millis,
}

/// The state shared by the traffic threads.
pub struct TrafficShared {
    /// The router of this entry host.
    pub router: HostRouter,
    /// The view last published by the control thread.
    pub view: RwLock<Arc<TrafficView>>,
    /// The HTTP client for calls to backend servers.
    pub client: reqwest::Client,
    /// The client of the platform, for claims of callers' keys.
    pub platform: PlatformClient,
    /// Latency samples to the control thread; a sample is dropped where the channel is full.
    pub latencies: Sender<LatencySample>,
    /// The maximum size of a request's or an answer's body, in bytes.
    pub max_body_bytes: u64,
    /// How long a caller may take to send a request's body.
    pub body_timeout_ms: Millis,
    /// The name of this incarnation of the daemon.
    pub host: sandshelf_model::HostId,
    /// Whether the daemon is stopping: each answer then closes its connection.
    pub closing: AtomicBool,
}

impl TrafficShared {
    fn view(&self) -> Arc<TrafficView> {
        let view = self.view.read();
        view.unwrap_or_else(|poisoned| poisoned.into_inner())
            .clone()
    }

    /// Replaces the view.
    pub fn publish(&self, view: TrafficView) {
        let mut current = self
            .view
            .write()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        *current = Arc::new(view);
    }
}

/// The final answer to a caller: a backend server's answer, or a reason why there is none.
enum FinalAnswer {
    Ran(BackendAnswer),
    GivenUp {
        status: Status,
        verdict: RunVerdict,
        retry_after: Option<Millis>,
        reason: &'static str,
    },
}

impl FinalAnswer {
    fn not_run(status: Status, retry_after: Millis, reason: &'static str) -> Self {
        FinalAnswer::GivenUp {
            status,
            verdict: RunVerdict::NotRun,
            retry_after: Some(retry_after),
            reason,
        }
    }

    fn verdict(&self) -> RunVerdict {
        match self {
            FinalAnswer::Ran(_) => RunVerdict::Ran,
            FinalAnswer::GivenUp { verdict, .. } => *verdict,
        }
    }
}

/// The handler of callers' requests, of any method and path.
#[derive(Clone)]
pub struct CallerEndpoint {
    shared: Arc<TrafficShared>,
}

impl CallerEndpoint {
    /// Builds the routes of the caller endpoint.
    pub fn routes(shared: Arc<TrafficShared>) -> Vec<Route> {
        let endpoint = CallerEndpoint { shared };
        let methods = [
            Method::Get,
            Method::Head,
            Method::Post,
            Method::Put,
            Method::Delete,
            Method::Patch,
            Method::Options,
        ];
        methods
            .into_iter()
            .map(|method| Route::new(method, "/<path..>", endpoint.clone()))
            .collect()
    }
}

#[rocket::async_trait]
impl Handler for CallerEndpoint {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let answer = handle_request(&self.shared, request, data).await;
        let closing = self.shared.closing.load(Ordering::Relaxed);
        Outcome::Success(to_response(answer, closing))
    }
}

/// Validates a request, reads its body and serves it.
async fn handle_request(
    shared: &Arc<TrafficShared>,
    request: &Request<'_>,
    data: Data<'_>,
) -> FinalAnswer {
    let view = shared.view();
    let Some(set) = &view.set else {
        let reason = "no configuration is in force here yet";
        return FinalAnswer::not_run(Status::ServiceUnavailable, RETRY_SOON_MS, reason);
    };
    let name = request.routed_segments(0..).next().unwrap_or_default();
    let Some(service) = set.service(name).cloned() else {
        let reason = "no service of that name is declared";
        return FinalAnswer::not_run(Status::NotFound, RETRY_LATER_MS, reason);
    };
    let body = match read_body(shared, data).await {
        Ok(body) => body,
        Err(answer) => return answer,
    };
    let (deadline, key) = match read_request_options(request, &service) {
        Ok(options) => options,
        Err(reason) => return FinalAnswer::not_run(Status::BadRequest, RETRY_LATER_MS, reason),
    };
    let caller_request = CallerRequest {
        method: reqwest::Method::from_bytes(request.method().as_str().as_bytes())
            .unwrap_or(reqwest::Method::GET),
        target: request.uri().to_string(),
        headers: caller_headers(request),
        body,
    };
    // The request is served in a task of its own, so that it keeps its slot to the end even if the caller disconnects.
    let shared = shared.clone();
    let served = tokio::spawn(serve(shared, service, caller_request, deadline, key));
    match served.await {
        Ok(answer) => answer,
        Err(_) => FinalAnswer::GivenUp {
            status: Status::InternalServerError,
            verdict: RunVerdict::MayHaveRun,
            retry_after: None,
            reason: "the daemon failed",
        },
    }
}

async fn read_body(shared: &TrafficShared, data: Data<'_>) -> Result<Vec<u8>, FinalAnswer> {
    let timeout = Duration::from_millis(shared.body_timeout_ms);
    let limit = shared.max_body_bytes.bytes();
    let read = tokio::time::timeout(timeout, data.open(limit).into_bytes()).await;
    match read {
        Ok(Ok(body)) if body.is_complete() => Ok(body.into_inner()),
        Ok(Ok(_)) => Err(FinalAnswer::not_run(
            Status::PayloadTooLarge,
            RETRY_LATER_MS,
            "the body is larger than max_body_bytes",
        )),
        Ok(Err(_)) => Err(FinalAnswer::not_run(
            Status::BadRequest,
            RETRY_SOON_MS,
            "the body did not come whole",
        )),
        Err(_) => Err(FinalAnswer::not_run(
            Status::RequestTimeout,
            RETRY_SOON_MS,
            "the body did not come in time",
        )),
    }
}

/// Reads the request's deadline, as a time of [`clock::now`], and its key.
///
/// The caller may shorten the service's time limit, not extend it.
fn read_request_options(
    request: &Request<'_>,
    service: &ServiceSpec,
) -> Result<(Millis, Option<String>), &'static str> {
    let requested_ms = match request.headers().get_one(DEADLINE_HEADER) {
        Some(text) => text
            .parse::<Millis>()
            .map_err(|_| "sandshelf-deadline-ms is not a whole number")?,
        None => service.deadline_ms,
    };
    let key = request.headers().get_one(KEY_HEADER).map(str::to_owned);
    let is_valid = |key: &String| {
        !key.is_empty()
            && key.len() <= MAX_KEY_BYTES
            && key
                .bytes()
                .all(|byte| byte.is_ascii_graphic() && byte != b'/')
    };
    if key.as_ref().is_some_and(|key| !is_valid(key)) {
        return Err("sandshelf-key has to be 1 to 200 printable characters without a slash");
    }
    Ok((clock::now() + requested_ms.min(service.deadline_ms), key))
}

fn caller_headers(request: &Request<'_>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for header in request.headers().iter() {
        backend::add_header(&mut headers, header.name().as_str(), header.value());
    }
    headers
}

/// Serves a request until its final answer; a key claimed for it is released where the request certainly did not run.
async fn serve(
    shared: Arc<TrafficShared>,
    service: ServiceSpec,
    request: CallerRequest,
    deadline: Millis,
    key: Option<String>,
) -> FinalAnswer {
    let arrived = clock::now();
    let number = shared.router.next_request();
    let token = format!("{}:{number}", shared.host);
    let claim = match claim_if_needed(&shared, &service, key, &token, deadline).await {
        Ok(claim) => claim,
        Err(answer) => return answer,
    };
    let mailbox = shared.router.open(number);
    let info = RequestInfo {
        id: number,
        class: service.name.clone(),
        repeatable: service.repeatable,
        deadline,
    };
    shared.router.handle(RouteEvent::Arrived(info));
    let answer = follow_router(&shared, &service, &request, number, deadline, mailbox).await;
    shared.router.close(number);
    if let (Some(claim), RunVerdict::NotRun) = (&claim, answer.verdict()) {
        release_key(&shared.platform, claim, &token).await;
    }
    let seconds = clock::now().saturating_sub(arrived) as f64 / 1_000.0;
    meters::note_request(&service.name, answer.verdict(), seconds);
    answer
}

async fn claim_if_needed(
    shared: &TrafficShared,
    service: &ServiceSpec,
    key: Option<String>,
    token: &str,
    deadline: Millis,
) -> Result<Option<KeyClaim>, FinalAnswer> {
    let Some(key) = key.filter(|_| !service.repeatable) else {
        return Ok(None);
    };
    match claim_key(&shared.platform, &service.name, &key, token, deadline).await {
        ClaimOutcome::Claimed(claim) => Ok(Some(claim)),
        ClaimOutcome::Taken => Err(FinalAnswer::GivenUp {
            status: Status::Conflict,
            verdict: RunVerdict::MayHaveRun,
            retry_after: None,
            reason: "a request with this key was taken in before; it may have run",
        }),
        ClaimOutcome::StoreUnavailable => Err(FinalAnswer::not_run(
            Status::ServiceUnavailable,
            RETRY_SOON_MS,
            "the key can't be recorded while the platform's store does not answer",
        )),
    }
}

/// Performs the router's actions for a request until its final answer.
async fn follow_router(
    shared: &TrafficShared,
    service: &ServiceSpec,
    request: &CallerRequest,
    number: u64,
    deadline: Millis,
    mut mailbox: UnboundedReceiver<RouteAction>,
) -> FinalAnswer {
    let mut latest_answer: Option<BackendAnswer> = None;
    while let Some(action) = mailbox.recv().await {
        match action {
            RouteAction::Dispatch { server, .. } => {
                let (answer, end) = forward(shared, service, request, &server, deadline).await;
                latest_answer = answer;
                let event = RouteEvent::Ended {
                    request: number,
                    end,
                };
                shared.router.handle(event);
            }
            RouteAction::Deliver { .. } => {
                if let Some(answer) = latest_answer.take() {
                    return FinalAnswer::Ran(answer);
                }
            }
            RouteAction::GiveUp {
                verdict,
                retry_after,
                ..
            } => return given_up(verdict, retry_after),
        }
    }
    given_up(RunVerdict::MayHaveRun, None)
}

fn given_up(verdict: RunVerdict, retry_after: Option<Millis>) -> FinalAnswer {
    let (status, reason) = match verdict {
        RunVerdict::NotRun => (
            Status::ServiceUnavailable,
            "no backend server had a slot in time; the request was not run",
        ),
        RunVerdict::Ran | RunVerdict::MayHaveRun => (
            Status::GatewayTimeout,
            "no whole answer came; the request may have run",
        ),
    };
    FinalAnswer::GivenUp {
        status,
        verdict,
        retry_after,
        reason,
    }
}

async fn forward(
    shared: &TrafficShared,
    service: &ServiceSpec,
    request: &CallerRequest,
    server: &ServerId,
    deadline: Millis,
) -> (Option<BackendAnswer>, AttemptEnd) {
    let view = shared.view();
    let Some((address, worker)) = view.servers.get(server) else {
        return (None, AttemptEnd::NotRun);
    };
    let timeout = clock::until(deadline);
    let max_body = shared.max_body_bytes;
    let attempt = backend::attempt(&shared.client, *address, request, timeout, max_body);
    let (result, latency_ms) = attempt.await;
    match result {
        Ok(answer) => {
            let _ = shared.latencies.try_send(LatencySample {
                service: service.name.clone(),
                worker: worker.clone(),
                latency_ms,
            });
            (Some(answer), AttemptEnd::Answered { latency_ms })
        }
        Err(end) => (None, end),
    }
}

fn to_response<'r>(answer: FinalAnswer, closing: bool) -> Response<'r> {
    let mut response = Response::new();
    let verdict = answer.verdict();
    match answer {
        FinalAnswer::Ran(answer) => {
            response.set_status(Status::new(answer.status));
            for (name, value) in answer.headers {
                response.adjoin_header(Header::new(name, value));
            }
            response.set_sized_body(answer.body.len(), std::io::Cursor::new(answer.body));
        }
        FinalAnswer::GivenUp {
            status,
            retry_after,
            reason,
            ..
        } => {
            response.set_status(status);
            if let Some(wait) = retry_after {
                let seconds = wait.div_ceil(1_000).max(1);
                response.set_header(Header::new("retry-after", seconds.to_string()));
                response.set_header(Header::new(RETRY_HEADER, wait.to_string()));
            }
            let text = format!("{reason}\n");
            response.set_sized_body(text.len(), std::io::Cursor::new(text));
        }
    }
    response.set_header(Header::new(VERDICT_HEADER, verdict.label()));
    if closing {
        response.set_header(Header::new("connection", "close"));
    }
    response
}
