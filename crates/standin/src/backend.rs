//! A stand-in for a backend server: a fixed number of slots, a service time, and answers that echo the request.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rocket::data::{Data, ToByteUnit};
use rocket::http::{Header, Method, Status};
use rocket::response::Response;
use rocket::route::{Handler, Outcome, Route};
use rocket::serde::json::Json;
use rocket::{get, post, routes, Request, State};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::serve::{launch, quiet_rocket};

/// The response header with which a backend server states that it did not run a request; its value is the reason.
pub const REFUSED_HEADER: &str = "sandshelf-refused";
/// The most that is read of a request's body, in MiB; a longer body is cut off there.
const MAX_BODY_MIB: u64 = 64;

/// What a backend server has done since its start, for tests to check.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendHistory {
    /// The number of requests that it ran; a request counts once its body has been read, before its service time.
    pub ran: u64,
    /// The bodies of these requests that are shorter than 200 bytes, in the order of the requests.
    pub bodies: Vec<String>,
    /// The largest number of requests that ran concurrently.
    pub most_at_once: usize,
    /// The number of requests that were refused because no slot was free.
    pub refused: u64,
}

/// How a backend server behaves; tests change it at run time.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct BackendBehaviour {
    /// The service time of each request, in milliseconds.
    pub service_ms: u64,
    /// Whether the server is shutting down and refuses every new request.
    pub leaving: bool,
}

struct BackendState {
    name: String,
    slots: usize,
    service_ms: AtomicU64,
    leaving: AtomicBool,
    running: AtomicUsize,
    history: Mutex<BackendHistory>,
}

/// An occupied slot; frees it when dropped, also when the caller disconnects.
struct SlotGuard(Arc<BackendState>);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

impl BackendState {
    /// Occupies a slot; none, and counted as refused, where all slots are occupied.
    fn take_slot(self: &Arc<Self>) -> Option<SlotGuard> {
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        let guard = SlotGuard(self.clone());
        let mut history = self.history.lock().expect("no handler panics");
        if running > self.slots {
            history.refused += 1;
            return None;
        }
        history.most_at_once = history.most_at_once.max(running);
        Some(guard)
    }
}

/// Starts the stand-in with this number of slots on a free port of the loopback address; returns the address.
pub async fn start_backend(name: &str, slots: usize, behaviour: BackendBehaviour) -> SocketAddr {
    let state = Arc::new(BackendState {
        name: name.to_owned(),
        slots,
        service_ms: AtomicU64::new(behaviour.service_ms),
        leaving: AtomicBool::new(behaviour.leaving),
        running: AtomicUsize::new(0),
        history: Mutex::default(),
    });
    let methods = [
        Method::Get,
        Method::Post,
        Method::Put,
        Method::Delete,
        Method::Patch,
        Method::Options,
    ];
    let handler = EchoHandler(state.clone());
    let catch_all = methods.map(|method| Route::ranked(10, method, "/<path..>", handler.clone()));
    let rocket = quiet_rocket(0)
        .manage(state)
        .mount("/", catch_all.to_vec())
        .mount("/standin", routes![history, set_behaviour]);
    launch(rocket).await
}

#[get("/history")]
fn history(state: &State<Arc<BackendState>>) -> Json<BackendHistory> {
    Json(state.history.lock().expect("no handler panics").clone())
}

#[post("/behave", data = "<behaviour>")]
fn set_behaviour(state: &State<Arc<BackendState>>, behaviour: Json<BackendBehaviour>) {
    state
        .service_ms
        .store(behaviour.service_ms, Ordering::SeqCst);
    state.leaving.store(behaviour.leaving, Ordering::SeqCst);
}

/// Runs a request in a slot for the service time and echoes it, or refuses it.
#[derive(Clone)]
struct EchoHandler(Arc<BackendState>);

#[rocket::async_trait]
impl Handler for EchoHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let state = &self.0;
        if state.leaving.load(Ordering::SeqCst) {
            return Outcome::Success(refusal("leaving"));
        }
        let Some(_guard) = state.take_slot() else {
            return Outcome::Success(refusal("busy"));
        };
        let body = data.open(MAX_BODY_MIB.mebibytes()).into_bytes().await;
        let body = body.map(|body| body.into_inner()).unwrap_or_default();
        record_run(state, &body);
        sleep(Duration::from_millis(
            state.service_ms.load(Ordering::SeqCst),
        ))
        .await;
        Outcome::Success(echo(state, request, body))
    }
}

fn record_run(state: &BackendState, body: &[u8]) {
    let mut history = state.history.lock().expect("no handler panics");
    history.ran += 1;
    if body.len() < 200 {
        history
            .bodies
            .push(String::from_utf8_lossy(body).into_owned());
    }
}

fn refusal(reason: &'static str) -> Response<'static> {
    let mut response = Response::new();
    response.set_status(Status::ServiceUnavailable);
    response.set_header(Header::new(REFUSED_HEADER, reason));
    response
}

fn echo<'r>(state: &BackendState, request: &Request<'_>, body: Vec<u8>) -> Response<'r> {
    let mut response = Response::new();
    response.set_header(Header::new("backend-server", state.name.clone()));
    response.set_header(Header::new("echo-uri", request.uri().to_string()));
    if let Some(value) = request.headers().get_one("x-asked") {
        response.set_header(Header::new("x-asked", value.to_owned()));
    }
    let body = if body.is_empty() {
        format!("{} {}", request.method(), request.uri()).into_bytes()
    } else {
        body
    };
    response.set_sized_body(body.len(), std::io::Cursor::new(body));
    response
}
