//! The operator endpoint, which also answers the load balancer's health checks.

use std::sync::{Arc, RwLock};

use http::header::{HeaderValue, CONTENT_TYPE};
use http::{Method, StatusCode};
use metrics_exporter_prometheus::PrometheusHandle;
use sandshelf_http::{plain_answer, text_answer, HttpAnswer, HttpRequest};
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

use crate::status::{ExplainAnswer, HostStatus};

/// The type of the body of an answer with JSON.
const JSON_TYPE: HeaderValue = HeaderValue::from_static("application/json");

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

/// Answers a request of an operator or of the load balancer.
pub async fn answer_operator(shared: Arc<OperatorShared>, request: HttpRequest) -> HttpAnswer {
    if !matches!(*request.method(), Method::GET | Method::HEAD) {
        return no_such_page();
    }
    match request.uri().path() {
        "/health" => text_answer(StatusCode::OK, "alive\n"),
        "/ready" => match shared.status().ready {
            true => text_answer(StatusCode::OK, "ready\n"),
            false => text_answer(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        },
        "/metrics" => match &shared.metrics {
            Some(metrics) => text_answer(StatusCode::OK, metrics.render()),
            None => no_such_page(),
        },
        "/status" => json_answer(&*shared.status()),
        "/explain" => explain(&shared, request.uri().query().unwrap_or_default()).await,
        _ => no_such_page(),
    }
}

fn no_such_page() -> HttpAnswer {
    text_answer(StatusCode::NOT_FOUND, "no such page\n")
}

fn json_answer(value: &impl Serialize) -> HttpAnswer {
    let Ok(text) = serde_json::to_vec(value) else {
        return text_answer(StatusCode::INTERNAL_SERVER_ERROR, "can't be shown\n");
    };
    let mut answer = plain_answer(StatusCode::OK, text);
    answer.headers_mut().insert(CONTENT_TYPE, JSON_TYPE);
    answer
}

/// Has the control thread explain the subject named in a query.
async fn explain(shared: &OperatorShared, query: &str) -> HttpAnswer {
    let mut pairs = form_urlencoded::parse(query.as_bytes());
    let Some((_, subject)) = pairs.find(|(name, _)| name == "subject") else {
        return text_answer(
            StatusCode::UNPROCESSABLE_ENTITY,
            "the query names no subject\n",
        );
    };
    let (reply, answer) = oneshot::channel();
    let question = ExplainQuestion {
        subject: subject.into_owned(),
        reply,
    };
    let unavailable = || text_answer(StatusCode::SERVICE_UNAVAILABLE, "no answer\n");
    if shared.questions.send(question).await.is_err() {
        return unavailable();
    }
    match answer.await {
        Ok(answer) => json_answer(&answer),
        Err(_) => unavailable(),
    }
}
