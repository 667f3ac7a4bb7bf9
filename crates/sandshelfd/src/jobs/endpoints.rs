//! The HTTP endpoints for callers, for the load balancer and for metrics.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use http::header::{HeaderValue, CONNECTION, CONTENT_TYPE, HOST, RETRY_AFTER};
use http::{HeaderMap, Method, StatusCode};
use metrics_exporter_prometheus::PrometheusHandle;
use sandshelf_adapter::{StoreClient, DEADLINE_HEADER, READY_PATH};
use sandshelf_http::{
    plain_answer, text_answer, BodyFault, BodyLimit, HttpAnswer, HttpRequest, LimitHit, RequestBody,
};
use sandshelf_jobs::{JobNumber, QueueEntry};
use sandshelf_model::Millis;
use tokio::sync::watch;

use crate::clock::SteadyInstant;
use crate::jobs::accept::{store_timeout, JobAnswer, JobService};
use crate::jobs::admission::AdmissionControl;
use crate::jobs::cancel::MarkBudget;
use crate::jobs::health::StoreHealth;
use crate::jobs::meters;
use crate::jobs::news::OwnerNews;
use crate::jobs::queues::QueueView;
use crate::logging::event;

/// The path under which metrics are served.
const METRICS_PATH: &str = "/metrics";
/// The type of the body of an answer to a call that succeeded.
const JSON_TYPE: HeaderValue = HeaderValue::from_static("application/json");
/// The timeout for reading the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The state that the endpoints share.
pub struct JobShared {
    /// The client of the store.
    pub store: StoreClient,
    /// The health of the store as seen by this host's calls.
    pub health: Arc<StoreHealth>,
    /// What the owner last told this host.
    pub news: watch::Receiver<OwnerNews>,
    /// The current configuration of queues.
    pub queues: QueueView,
    /// The decisions whether to admit jobs.
    pub admission: AdmissionControl,
    /// How many cancellations of unknown jobs this host may keep.
    pub cancel_marks: MarkBudget,
    /// Whether the daemon is stopping.
    pub stopping: AtomicBool,
    /// The number of open requests of callers.
    pub open_requests: AtomicUsize,
}

/// Counts a request as open until it is dropped.
struct OpenRequest<'a>(&'a AtomicUsize);

impl<'a> OpenRequest<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Answers a request of a caller.
pub async fn answer_job_request(shared: Arc<JobShared>, request: HttpRequest) -> HttpAnswer {
    let _open = OpenRequest::new(&shared.open_requests);
    let started_at = SteadyInstant::now();
    let (head, body) = request.into_parts();
    let method = match head.method {
        Method::HEAD => Method::GET,
        method => method,
    };
    match method {
        Method::GET | Method::POST | Method::DELETE | Method::PUT | Method::PATCH => {}
        Method::OPTIONS | Method::TRACE | Method::CONNECT => {
            return text_answer(StatusCode::NOT_FOUND, "no such call\n");
        }
        _ => return text_answer(StatusCode::BAD_REQUEST, "no such method\n"),
    }
    let call = JobCall {
        method: &method,
        headers: &head.headers,
        path: head.uri.path(),
    };
    let answer = answer_call(&shared, &call, body).await;
    meters::record_answer(&method, answer.status, started_at.elapsed());
    to_http(answer, shared.stopping.load(Ordering::Relaxed))
}

fn to_http(answer: JobAnswer, is_stopping: bool) -> HttpAnswer {
    let mut response = plain_answer(answer.status, answer.body);
    let headers = response.headers_mut();
    if answer.status == StatusCode::OK {
        headers.insert(CONTENT_TYPE, JSON_TYPE);
    }
    if let Some(retry_after_ms) = answer.retry_after_ms {
        let seconds = retry_after_ms.div_ceil(1_000);
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    if is_stopping {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// The head of a call of a caller.
struct JobCall<'a> {
    method: &'a Method,
    headers: &'a HeaderMap,
    path: &'a str,
}

impl JobCall<'_> {
    /// A header's text; none if it is missing or not text.
    fn header(&self, name: impl http::header::AsHeaderName) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// How long the caller waits for the answer; none if its header is missing or not a whole number of milliseconds.
    fn deadline_ms(&self) -> Option<Millis> {
        self.header(DEADLINE_HEADER)?.parse().ok()
    }
}

async fn answer_call(shared: &JobShared, call: &JobCall<'_>, body: RequestBody) -> JobAnswer {
    let Some(table) = shared.queues.get() else {
        return JobAnswer::not_run("no configuration is known here yet");
    };
    let hostname = call.header(HOST).unwrap_or_default();
    let hostname = hostname.split(':').next().unwrap_or_default();
    let Some((queue, rest)) = table.find(hostname, call.path) else {
        return JobAnswer::plain(StatusCode::NOT_FOUND, "no such queue");
    };
    let left_ms = call.deadline_ms();
    let service = JobService {
        store: &shared.store,
        health: &shared.health,
        news: shared.news.borrow().clone(),
        admission: &shared.admission,
        cancel_marks: &shared.cancel_marks,
        left_ms,
        timeout: store_timeout(left_ms),
    };
    if rest.is_empty() {
        return match *call.method {
            Method::GET => service.pending(queue).await,
            _ => JobAnswer::plain(
                StatusCode::METHOD_NOT_ALLOWED,
                "a queue can be asked with GET",
            ),
        };
    }
    let Ok(number) = rest.parse::<JobNumber>() else {
        return bad_number(call.method);
    };
    match *call.method {
        Method::POST => submit(&service, queue, number, body, table.max_body_bytes).await,
        Method::GET => service.show(queue, number).await,
        Method::DELETE => service.cancel(number).await,
        _ => JobAnswer::plain(
            StatusCode::METHOD_NOT_ALLOWED,
            "a job takes POST, GET and DELETE",
        ),
    }
}

fn bad_number(method: &Method) -> JobAnswer {
    match *method {
        Method::GET | Method::DELETE => JobAnswer::plain(StatusCode::GONE, "no such job"),
        _ => JobAnswer::plain(
            StatusCode::BAD_REQUEST,
            "a job's number has 16 hexadecimal digits",
        ),
    }
}

async fn submit(
    service: &JobService<'_>,
    queue: &QueueEntry,
    number: JobNumber,
    body: RequestBody,
    max_bytes: u64,
) -> JobAnswer {
    let limit = BodyLimit {
        max_bytes,
        time: BODY_TIMEOUT,
    };
    match body.read(limit).await {
        Ok(body) => service.submit(queue, number, &body).await,
        Err(fault) => refuse_body(fault),
    }
}

/// The answer to a request whose body could not be read.
fn refuse_body(fault: BodyFault) -> JobAnswer {
    let status = match fault {
        BodyFault::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        BodyFault::Broken => StatusCode::BAD_REQUEST,
        BodyFault::Late => StatusCode::REQUEST_TIMEOUT,
        BodyFault::NoMemory => {
            return JobAnswer::not_run("too many bodies are arriving; the request has not run");
        }
    };
    JobAnswer::plain(status, fault.to_string())
}

/// Answers with the metrics of this process as text.
pub async fn answer_metrics_request(handle: PrometheusHandle, request: HttpRequest) -> HttpAnswer {
    match (request.method(), request.uri().path()) {
        (&Method::GET | &Method::HEAD, METRICS_PATH) => {
            text_answer(StatusCode::OK, handle.render())
        }
        _ => text_answer(StatusCode::NOT_FOUND, "no such page\n"),
    }
}

/// Answers the load balancer, which asks whether this host takes requests.
pub async fn answer_ready_request(shared: Arc<JobShared>, request: HttpRequest) -> HttpAnswer {
    match (request.method(), request.uri().path()) {
        (&Method::GET | &Method::HEAD, READY_PATH) => {}
        _ => return text_answer(StatusCode::NOT_FOUND, "no such page\n"),
    }
    let ready = shared.queues.get().is_some()
        && !shared.stopping.load(Ordering::Relaxed)
        && !shared.health.is_long_out();
    match ready {
        true => plain_answer(StatusCode::OK, ""),
        false => plain_answer(StatusCode::SERVICE_UNAVAILABLE, ""),
    }
}

/// Logs and counts a limit of the server that took effect on a port.
pub fn report_limit(port: &'static str, hit: LimitHit) {
    meters::record_limit(port, hit);
    event("limit_hit", &[("port", &port), ("limit", &hit.name())]);
}
