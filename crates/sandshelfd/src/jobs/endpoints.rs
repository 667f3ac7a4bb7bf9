//! The HTTP endpoints for callers, for the load balancer and for metrics.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use rocket::data::{Data, ToByteUnit};
use rocket::http::{ContentType, Header, Method, Status};
use rocket::response::Response;
use rocket::route::{Handler, Outcome, Route};
use rocket::{Request, State};
use sandshelf_adapter::{StoreClient, DEADLINE_HEADER, READY_PATH};
use sandshelf_jobs::{JobNumber, QueueEntry};
use sandshelf_model::Millis;
use tokio::sync::watch;

use crate::clock::SteadyInstant;
use crate::jobs::accept::{store_timeout, JobAnswer, JobService};
use crate::jobs::admission::AdmissionControl;
use crate::jobs::health::StoreHealth;
use crate::jobs::meters;
use crate::jobs::news::OwnerNews;
use crate::jobs::queues::QueueView;

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

#[derive(Clone)]
struct JobHandler(Arc<JobShared>);

/// The routes of the endpoint for callers.
pub fn job_routes(shared: &Arc<JobShared>) -> Vec<Route> {
    let methods = [
        Method::Get,
        Method::Post,
        Method::Delete,
        Method::Put,
        Method::Patch,
    ];
    let handler = JobHandler(shared.clone());
    let route = |method| Route::new(method, "/<path..>", handler.clone());
    methods.into_iter().map(route).collect()
}

#[rocket::async_trait]
impl Handler for JobHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let shared = &self.0;
        let _open = OpenRequest::new(&shared.open_requests);
        let started_at = SteadyInstant::now();
        let answer = answer_call(shared, request, data).await;
        meters::record_answer(request.method(), answer.status, started_at.elapsed());
        let mut response = Response::new();
        response.set_status(answer.status);
        if answer.status == Status::Ok {
            response.set_header(ContentType::JSON);
        }
        if let Some(retry_after_ms) = answer.retry_after_ms {
            let seconds = retry_after_ms.div_ceil(1_000);
            response.set_header(Header::new("retry-after", seconds.to_string()));
        }
        if shared.stopping.load(Ordering::Relaxed) {
            response.set_header(Header::new("connection", "close"));
        }
        response.set_sized_body(answer.body.len(), std::io::Cursor::new(answer.body));
        Outcome::Success(response)
    }
}

async fn answer_call(shared: &JobShared, request: &Request<'_>, data: Data<'_>) -> JobAnswer {
    let Some(table) = shared.queues.get() else {
        return JobAnswer::not_run("no configuration is known here yet");
    };
    let hostname = request.headers().get_one("host").unwrap_or_default();
    let hostname = hostname.split(':').next().unwrap_or_default();
    let path = request.uri().path().as_str();
    let Some((queue, rest)) = table.find(hostname, path) else {
        return JobAnswer::plain(Status::NotFound, "no such queue");
    };
    let left_ms = deadline_ms(request);
    let service = JobService {
        store: &shared.store,
        health: &shared.health,
        news: shared.news.borrow().clone(),
        admission: &shared.admission,
        left_ms,
        timeout: store_timeout(left_ms),
    };
    if rest.is_empty() {
        return match request.method() {
            Method::Get => service.pending(queue).await,
            _ => JobAnswer::plain(Status::MethodNotAllowed, "a queue can be asked with GET"),
        };
    }
    let Ok(number) = rest.parse::<JobNumber>() else {
        return bad_number(request.method());
    };
    match request.method() {
        Method::Post => submit(&service, queue, number, data, table.max_body_bytes).await,
        Method::Get => service.show(queue, number).await,
        Method::Delete => service.cancel(number).await,
        _ => JobAnswer::plain(Status::MethodNotAllowed, "a job takes POST, GET and DELETE"),
    }
}

/// How long the caller waits for the answer; none if its header is missing or not a whole number of milliseconds.
fn deadline_ms(request: &Request<'_>) -> Option<Millis> {
    request.headers().get_one(DEADLINE_HEADER)?.parse().ok()
}

fn bad_number(method: Method) -> JobAnswer {
    match method {
        Method::Get | Method::Delete => JobAnswer::plain(Status::Gone, "no such job"),
        _ => JobAnswer::plain(
            Status::BadRequest,
            "a job's number has 16 hexadecimal digits",
        ),
    }
}

async fn submit(
    service: &JobService<'_>,
    queue: &QueueEntry,
    number: JobNumber,
    data: Data<'_>,
    limit: u64,
) -> JobAnswer {
    let read = tokio::time::timeout(BODY_TIMEOUT, data.open(limit.bytes()).into_bytes()).await;
    match read {
        Ok(Ok(body)) if body.is_complete() => service.submit(queue, number, &body).await,
        Ok(Ok(_)) => JobAnswer::plain(Status::PayloadTooLarge, "the body is too large"),
        Ok(Err(_)) => JobAnswer::plain(Status::BadRequest, "the body did not come whole"),
        Err(_) => JobAnswer::plain(Status::RequestTimeout, "the body did not come in time"),
    }
}

/// Serves the metrics of this process as text.
#[rocket::get("/metrics")]
fn metrics_text(handle: &State<PrometheusHandle>) -> String {
    handle.render()
}

/// The routes of the metrics endpoint.
pub fn metrics_routes() -> Vec<Route> {
    rocket::routes![metrics_text]
}

#[derive(Clone)]
struct ReadyHandler(Arc<JobShared>);

/// The routes of the readiness endpoint, which the load balancer polls.
pub fn ready_routes(shared: &Arc<JobShared>) -> Vec<Route> {
    vec![Route::new(
        Method::Get,
        READY_PATH,
        ReadyHandler(shared.clone()),
    )]
}

#[rocket::async_trait]
impl Handler for ReadyHandler {
    async fn handle<'r>(&self, _request: &'r Request<'_>, _data: Data<'r>) -> Outcome<'r> {
        let shared = &self.0;
        let ready = shared.queues.get().is_some()
            && !shared.stopping.load(Ordering::Relaxed)
            && !shared.health.is_long_out();
        let mut response = Response::new();
        response.set_status(match ready {
            true => Status::Ok,
            false => Status::ServiceUnavailable,
        });
        Outcome::Success(response)
    }
}
