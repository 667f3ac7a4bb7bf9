//! A stand-in for a worker: serves the lease interface of a fake worker over HTTP.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Instant;

use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{get, post, routes, State};
use sandshelf_fakes::FakeWorker;
use sandshelf_lease::{WorkerOrders, WorkerReport};
use sandshelf_model::{Millis, ResourceSize, WorkerId};
use serde::{Deserialize, Serialize};

use crate::serve::{launch, quiet_rocket};

/// What a worker has run since its start, for tests to check.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerHistory {
    /// Each attempt with the number of times that it was actually started.
    pub starts: Vec<(String, u32)>,
    /// The running attempts.
    pub running: Vec<String>,
}

struct WorkerState {
    worker: Mutex<FakeWorker>,
    /// Whether the lease interface is unavailable: calls are answered with status 503 and don't reach the worker.
    cut: Mutex<bool>,
    /// When the stand-in started; the zero of the worker's clock.
    began: Instant,
}

impl WorkerState {
    /// The worker's clock, in milliseconds since the start of the stand-in.
    fn now(&self) -> Millis {
        self.began.elapsed().as_millis() as Millis
    }
}

/// Starts the stand-in on a free port of the loopback address; returns the address.
pub async fn start_worker(name: &str, capacity: ResourceSize) -> SocketAddr {
    let state = WorkerState {
        worker: Mutex::new(FakeWorker::new(WorkerId::from(name), capacity)),
        cut: Mutex::new(false),
        began: Instant::now(),
    };
    let rocket = quiet_rocket(0)
        .manage(state)
        .mount("/", routes![lease])
        .mount("/standin", routes![history, set_cut]);
    launch(rocket).await
}

#[post("/lease", data = "<orders>")]
fn lease(
    state: &State<WorkerState>,
    orders: Json<WorkerOrders>,
) -> Result<Json<WorkerReport>, Status> {
    if *state.cut.lock().expect("no handler panics") {
        return Err(Status::ServiceUnavailable);
    }
    let now = state.now();
    let mut worker = state.worker.lock().expect("no handler panics");
    Ok(Json(worker.handle(now, &orders)))
}

#[get("/history")]
fn history(state: &State<WorkerState>) -> Json<WorkerHistory> {
    let now = state.now();
    let mut worker = state.worker.lock().expect("no handler panics");
    worker.advance(now);
    let starts = worker.starts.iter();
    Json(WorkerHistory {
        starts: starts
            .map(|(attempt, count)| (attempt.to_string(), *count))
            .collect(),
        running: worker
            .running()
            .map(|task| task.attempt.to_string())
            .collect(),
    })
}

#[post("/cut", data = "<cut>")]
fn set_cut(state: &State<WorkerState>, cut: Json<bool>) {
    *state.cut.lock().expect("no handler panics") = cut.into_inner();
}
