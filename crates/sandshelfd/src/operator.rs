//! The operator endpoint, which also answers the load balancer's health checks.

use std::sync::{Arc, RwLock};

use metrics_exporter_prometheus::PrometheusHandle;
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{get, routes, Route, State};
use tokio::sync::{mpsc, oneshot};

use crate::status::{ExplainAnswer, HostStatus};

/// An operator's explain request, answered by the control thread.
pub struct ExplainQuestion {
    /// The task (`JOB/INDEX`), job or class of requests to explain.
    pub subject: String,
    /// The channel for the answer.
    pub reply: oneshot::Sender<ExplainAnswer>,
}

/// The state shared with the handlers of the operator endpoint.
pub struct OperatorShared {
    /// The status last published; replaced as a whole, never modified.
    pub status: RwLock<Arc<HostStatus>>,
    /// Explain requests to the control thread.
    pub questions: mpsc::Sender<ExplainQuestion>,
    /// Renders the metrics; none where the recorder could not be installed.
    pub metrics: Option<PrometheusHandle>,
}

impl OperatorShared {
    fn status(&self) -> Arc<HostStatus> {
        let status = self.status.read();
        status
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .clone()
    }

    /// Replaces the status.
    pub fn publish(&self, status: HostStatus) {
        let mut current = self
            .status
            .write()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        *current = Arc::new(status);
    }
}

/// The routes of the operator endpoint.
pub fn operator_routes() -> Vec<Route> {
    routes![health, ready, metrics, status, explain]
}

/// Liveness check: answers 200 while the process runs.
#[get("/health")]
fn health() -> &'static str {
    "alive\n"
}

/// Readiness check: answers 200 while callers may be routed to this host, else 503.
#[get("/ready")]
fn ready(shared: &State<Arc<OperatorShared>>) -> (Status, &'static str) {
    if shared.status().ready {
        (Status::Ok, "ready\n")
    } else {
        (Status::ServiceUnavailable, "not ready\n")
    }
}

#[get("/metrics")]
fn metrics(shared: &State<Arc<OperatorShared>>) -> Option<String> {
    shared.metrics.as_ref().map(PrometheusHandle::render)
}

#[get("/status")]
fn status(shared: &State<Arc<OperatorShared>>) -> Json<HostStatus> {
    Json((*shared.status()).clone())
}

#[get("/explain?<subject>")]
async fn explain(
    shared: &State<Arc<OperatorShared>>,
    subject: &str,
) -> Result<Json<ExplainAnswer>, Status> {
    let (reply, answer) = oneshot::channel();
    let question = ExplainQuestion {
        subject: subject.to_owned(),
        reply,
    };
    let sent = shared.questions.send(question).await;
    sent.map_err(|_| Status::ServiceUnavailable)?;
    let answer = answer.await.map_err(|_| Status::ServiceUnavailable)?;
    Ok(Json(answer))
}
