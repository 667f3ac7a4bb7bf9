//! The caller endpoint: reads a whole request, has it routed, and answers with a verdict.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, RwLock};
use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION, RETRY_AFTER};
use http::{Method, StatusCode};
use sandshelf_config::{ConfigSet, ServiceSpec};
use sandshelf_http::{
    plain_answer, text_answer, BodyBudget, BodyFault, BodyLimit, HttpAnswer, HttpRequest,
    RelayedBody, RequestBody,
};
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
const VERDICT_HEADER: HeaderName = HeaderName::from_static("sandshelf-verdict");
/// The response header with the time until a retry in milliseconds; Retry-After, also set, has only whole seconds.
const RETRY_HEADER: HeaderName = HeaderName::from_static("sandshelf-retry-after-ms");
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
    /// The memory for the bodies of requests and answers.
    pub bodies: BodyBudget,
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
        status: StatusCode,
        verdict: RunVerdict,
        retry_after: Option<Millis>,
        reason: &'static str,
    },
}

impl FinalAnswer {
    fn not_run(status: StatusCode, retry_after: Millis, reason: &'static str) -> Self {
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

/// Answers a request of a caller, of any usual method and path.
pub async fn answer_caller(shared: Arc<TrafficShared>, request: HttpRequest) -> HttpAnswer {
    match *request.method() {
        Method::GET
        | Method::HEAD
        | Method::POST
        | Method::PUT
        | Method::DELETE
        | Method::PATCH
        | Method::OPTIONS => {}
        Method::TRACE | Method::CONNECT => {
            return text_answer(StatusCode::NOT_FOUND, "no such call\n");
        }
        _ => return text_answer(StatusCode::BAD_REQUEST, "no such method\n"),
    }
    let answer = handle_request(&shared, request).await;
    to_response(answer, shared.closing.load(Ordering::Relaxed))
}

/// Validates a request, reads its body and serves it.
async fn handle_request(shared: &Arc<TrafficShared>, request: HttpRequest) -> FinalAnswer {
    let (head, body) = request.into_parts();
    let view = shared.view();
    let Some(set) = &view.set else {
        let reason = "no configuration is in force here yet";
        return FinalAnswer::not_run(StatusCode::SERVICE_UNAVAILABLE, RETRY_SOON_MS, reason);
    };
    let mut segments = head.uri.path().split('/');
    let name = segments.find(|segment| !segment.is_empty());
    let name = name.unwrap_or_default();
    let Some(service) = set.service(name).cloned() else {
        let reason = "no service of that name is declared";
        return FinalAnswer::not_run(StatusCode::NOT_FOUND, RETRY_LATER_MS, reason);
    };
    let body = match read_body(shared, body).await {
        Ok(body) => body,
        Err(answer) => return answer,
    };
    let (deadline, key) = match read_request_options(&head.headers, &service) {
        Ok(options) => options,
        Err(reason) => {
            return FinalAnswer::not_run(StatusCode::BAD_REQUEST, RETRY_LATER_MS, reason)
        }
    };
    let caller_request = CallerRequest {
        method: head.method,
        target: head
            .uri
            .path_and_query()
            .map_or_else(|| "/".to_owned(), ToString::to_string),
        headers: caller_headers(&head.headers),
        body,
    };
    // The request is served in a task of its own, so that it keeps its slot to the end even if the caller disconnects.
    let shared = shared.clone();
    let served = tokio::spawn(serve(shared, service, caller_request, deadline, key));
    match served.await {
        Ok(answer) => answer,
        Err(_) => FinalAnswer::GivenUp {
            status: StatusCode::INTERNAL_SERVER_ERROR,
            verdict: RunVerdict::MayHaveRun,
            retry_after: None,
            reason: "the daemon failed",
        },
    }
}

async fn read_body(shared: &TrafficShared, body: RequestBody) -> Result<Bytes, FinalAnswer> {
    let limit = BodyLimit {
        max_bytes: shared.max_body_bytes,
        time: Duration::from_millis(shared.body_timeout_ms),
    };
    let read = body.read(limit).await;
    read.map_err(|fault| match fault {
        BodyFault::TooLarge => FinalAnswer::not_run(
            StatusCode::PAYLOAD_TOO_LARGE,
            RETRY_LATER_MS,
            "the body is larger than max_body_bytes",
        ),
        BodyFault::Broken => FinalAnswer::not_run(
            StatusCode::BAD_REQUEST,
            RETRY_SOON_MS,
            "the body did not come whole",
        ),
        BodyFault::Late => FinalAnswer::not_run(
            StatusCode::REQUEST_TIMEOUT,
            RETRY_SOON_MS,
            "the body did not come in time",
        ),
        BodyFault::NoMemory => FinalAnswer::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            RETRY_SOON_MS,
            "too many bodies are arriving; the request was not run",
        ),
    })
}

/// Reads the request's deadline, as a time of [`clock::now`], and its key.
///
/// The caller may shorten the service's time limit, not extend it.
fn read_request_options(
    headers: &HeaderMap,
    service: &ServiceSpec,
) -> Result<(Millis, Option<String>), &'static str> {
    let requested_ms = match header_text(headers, DEADLINE_HEADER) {
        Some(text) => text
            .parse::<Millis>()
            .map_err(|_| "sandshelf-deadline-ms is not a whole number")?,
        None => service.deadline_ms,
    };
    let key = header_text(headers, KEY_HEADER).map(str::to_owned);
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

/// A header's text; none if it is missing or not text.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let value = headers.get(name)?;
    std::str::from_utf8(value.as_bytes()).ok()
}

fn caller_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::new();
    for (name, value) in headers {
        backend::add_header(&mut forwarded, name, value);
    }
    forwarded
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
            status: StatusCode::CONFLICT,
            verdict: RunVerdict::MayHaveRun,
            retry_after: None,
            reason: "a request with this key was taken in before; it may have run",
        }),
        ClaimOutcome::StoreUnavailable => Err(FinalAnswer::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
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
            StatusCode::SERVICE_UNAVAILABLE,
            "no backend server had a slot in time; the request was not run",
        ),
        RunVerdict::Ran | RunVerdict::MayHaveRun => (
            StatusCode::GATEWAY_TIMEOUT,
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
    let body = RelayedBody::new(&shared.bodies, shared.max_body_bytes);
    let attempt = backend::attempt(&shared.client, *address, request, timeout, body);
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

fn to_response(answer: FinalAnswer, closing: bool) -> HttpAnswer {
    let verdict = answer.verdict();
    let mut response = match answer {
        FinalAnswer::Ran(answer) => {
            let mut response = plain_answer(answer.status, answer.body);
            *response.headers_mut() = answer.headers;
            response
        }
        FinalAnswer::GivenUp {
            status,
            retry_after,
            reason,
            ..
        } => {
            let mut response = plain_answer(status, format!("{reason}\n"));
            if let Some(wait) = retry_after {
                let seconds = wait.div_ceil(1_000).max(1);
                let headers = response.headers_mut();
                headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
                headers.insert(RETRY_HEADER, HeaderValue::from(wait));
            }
            response
        }
    };
    let headers = response.headers_mut();
    headers.insert(VERDICT_HEADER, HeaderValue::from_static(verdict.label()));
    if closing {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
