//! The faces to callers and to the balancer.

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

use crate::clock::SteadyInstant;
use crate::jobs::accept::{patience_for, JobAnswer, JobDesk};
use crate::jobs::health::StoreHealth;
use crate::jobs::meters;
use crate::jobs::queues::QueueView;

/// How long a caller may take to send a body.
const BODY_PATIENCE: Duration = Duration::from_millis(3_000);

/// What the faces share.
pub struct JobShared {
    /// The store.
    pub store: StoreClient,
    /// What the latest calls say of it.
    pub health: Arc<StoreHealth>,
    /// The configuration of queues.
    pub queues: QueueView,
    /// Whether the daemon is stopping.
    pub stopping: AtomicBool,
    /// How many requests are under way.
    pub open_requests: AtomicUsize,
}

/// Counts a request as under way for as long as it lives.
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
struct JobFace(Arc<JobShared>);

/// The routes of the face to callers.
pub fn job_routes(shared: &Arc<JobShared>) -> Vec<Route> {
    let methods = [
        Method::Get,
        Method::Post,
        Method::Delete,
        Method::Put,
        Method::Patch,
    ];
    let face = JobFace(shared.clone());
    let route = |method| Route::new(method, "/<path..>", face.clone());
    methods.into_iter().map(route).collect()
}

#[rocket::async_trait]
impl Handler for JobFace {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let shared = &self.0;
        let _open = OpenRequest::new(&shared.open_requests);
        let began = SteadyInstant::now();
        let answer = answer_call(shared, request, data).await;
        meters::note_answer(request.method(), answer.status, began.elapsed());
        let mut response = Response::new();
        response.set_status(answer.status);
        if answer.status == Status::Ok {
            response.set_header(ContentType::JSON);
        }
        if let Some(wait) = answer.retry_after_ms {
            let seconds = wait.div_ceil(1_000).max(1);
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
    let desk = JobDesk {
        store: &shared.store,
        health: &shared.health,
        patience: patience_for(deadline_ms(request)),
    };
    if rest.is_empty() {
        return match request.method() {
            Method::Get => desk.pending(queue).await,
            _ => JobAnswer::plain(Status::MethodNotAllowed, "a queue can be asked with GET"),
        };
    }
    let Ok(number) = rest.parse::<JobNumber>() else {
        return bad_number(request.method());
    };
    match request.method() {
        Method::Post => submit(&desk, queue, number, data, table.max_body_bytes).await,
        Method::Get => desk.show(queue, number).await,
        Method::Delete => desk.cancel(number).await,
        _ => JobAnswer::plain(Status::MethodNotAllowed, "a job takes POST, GET and DELETE"),
    }
}

/// How long the caller waits, where it says so in whole milliseconds.
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
    desk: &JobDesk<'_>,
    queue: &QueueEntry,
    number: JobNumber,
    data: Data<'_>,
    limit: u64,
) -> JobAnswer {
    let read = tokio::time::timeout(BODY_PATIENCE, data.open(limit.bytes()).into_bytes()).await;
    match read {
        Ok(Ok(body)) if body.is_complete() => desk.submit(queue, number, &body).await,
        Ok(Ok(_)) => JobAnswer::plain(Status::PayloadTooLarge, "the body is too large"),
        Ok(Err(_)) => JobAnswer::plain(Status::BadRequest, "the body did not come whole"),
        Err(_) => JobAnswer::plain(Status::RequestTimeout, "the body did not come in time"),
    }
}

/// Serves the figures of this process as text.
#[rocket::get("/metrics")]
fn metrics_text(handle: &State<PrometheusHandle>) -> String {
    handle.render()
}

/// The routes of the face with the metrics.
pub fn metrics_routes() -> Vec<Route> {
    rocket::routes![metrics_text]
}

#[derive(Clone)]
struct ReadyFace(Arc<JobShared>);

/// The routes of the face to the balancer.
pub fn ready_routes(shared: &Arc<JobShared>) -> Vec<Route> {
    vec![Route::new(
        Method::Get,
        READY_PATH,
        ReadyFace(shared.clone()),
    )]
}

#[rocket::async_trait]
impl Handler for ReadyFace {
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
