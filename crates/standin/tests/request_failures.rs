//! Tests of what callers see when real processes fail: planned stops, repeated keyed requests, invalid answers of backend
//! servers, incomplete requests.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use reqwest::{Client, Response};
use sandshelf_cases::cases;
use sandshelf_model::{HallId, RackId, ServiceId, WorkerId};
use sandshelf_platform::{HostEntry, HostKind, HostState};
use sandshelf_standin::backend::BackendBehaviour;
use sandshelf_standin::harness::{wait_until, LocalSystem, WorkerHost};
use sandshelf_standin::platform::FaultPlan;
use support::{applied_system, apply, block_on, header, SET};

/// Changes how a backend server stand-in behaves.
async fn set_behaviour(worker: &WorkerHost, service_ms: u64, leaving: bool) {
    let behaviour = BackendBehaviour {
        service_ms,
        leaving,
    };
    let url = format!("http://{}/standin/behave", worker.backend);
    let sent = Client::new().post(url).json(&behaviour).send().await;
    let set = sent.and_then(Response::error_for_status);
    set.expect("the stand-in's behaviour can be set");
}

/// Callers keep sending while an entry host is stopped as planned: every accepted request gets its complete answer.
async fn planned_stop_under_load() {
    let mut system = applied_system().await;
    let host = system.hosts.remove("entry-1").expect("it was started");
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for number in 0..6 {
        let url = format!("http://{}/pricing/{number}", host.caller);
        let stop = stop.clone();
        callers.push(tokio::spawn(
            async move { call_until_stopped(url, &stop).await },
        ));
    }
    let answered = || async {
        let status = system.get(host.operator, "/status").await?;
        (status["requests"]["delivered"].as_u64()? > 60).then_some(())
    };
    wait_until("requests are answered", answered).await;
    for worker in system.workers.values() {
        set_behaviour(worker, 700, false).await;
    }
    let mut process = host.process;
    process.signal("TERM");
    // A load balancer sends no new requests to a host that is not ready; requests that it has already sent continue.
    let unready = || async {
        let url = format!("http://{}/ready", host.operator);
        let ready = Client::new().get(url).send().await.ok()?;
        (ready.status() == 503).then_some(())
    };
    wait_until("the host is not ready", unready).await;
    stop.store(true, Ordering::Relaxed);
    let code = process.wait_end();
    for caller in callers {
        let failures = caller.await.expect("no caller panics");
        assert_eq!(failures, Vec::<String>::new());
    }
    assert_eq!(code, Some(0));
}

/// Sends requests with bodies over persistent connections until `stop` is set; returns a description of each request that
/// failed or whose answer was incomplete. Answers with the verdict `not-run` are fine.
async fn call_until_stopped(url: String, stop: &AtomicBool) -> Vec<String> {
    let client = Client::new();
    let body = "cold room ".repeat(2_000);
    let mut failures = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let sent = client.post(&url).body(body.clone()).send().await;
        match sent {
            Ok(answer) if answer.status() == 200 => match answer.text().await {
                Ok(text) if text == body => {}
                Ok(text) => failures.push(format!("{} of {} bytes", text.len(), body.len())),
                Err(error) => failures.push(format!("answer: {error:?}")),
            },
            Ok(answer) if header(&answer, "sandshelf-verdict") == "not-run" => {}
            Ok(answer) => failures.push(format!("status {}", answer.status())),
            Err(error) => failures.push(format!("request: {error:?}")),
        }
    }
    failures
}

/// A caller sends a keyed request twice through every entry host: it runs once, and each repetition is answered with the
/// verdict that it may have run. With `lose_answers`, the platform also loses the answer to every commit, the claim of the
/// key included.
async fn keyed_request_repeated(lose_answers: bool) {
    let system = applied_system().await;
    let plan = FaultPlan {
        lose_answers,
        ..FaultPlan::default()
    };
    system.set_faults(&plan).await;
    let client = Client::new();
    let mut verdicts = Vec::new();
    for _ in 0..2 {
        for host in system.hosts.values() {
            let url = format!("http://{}/settlement/7", host.caller);
            let request = client
                .post(url)
                .header("sandshelf-key", "day-7")
                .body("pay 7");
            let answer = request.send().await.expect("an answer");
            verdicts.push(header(&answer, "sandshelf-verdict").to_owned());
        }
    }
    let server = &system.workers["w-3"];
    let history = system
        .get(server.backend, "/standin/history")
        .await
        .expect("it answers");
    assert_eq!(history["ran"], 1, "{verdicts:?}");
    assert_eq!(
        verdicts.iter().filter(|verdict| *verdict == "ran").count(),
        1
    );
    assert!(
        !verdicts.iter().any(|verdict| verdict == "not-run"),
        "{verdicts:?}"
    );
}

/// An entry host is killed while a keyed request runs, and the caller repeats the request through another entry host: the
/// request runs only once.
async fn keyed_request_outlives_its_host() {
    let mut system = applied_system().await;
    set_behaviour(&system.workers["w-3"], 1_500, false).await;
    let client = Client::new();
    let first = system.hosts.remove("entry-1").expect("it was started");
    let url = format!("http://{}/settlement/9", first.caller);
    let request = client
        .post(url)
        .header("sandshelf-key", "day-9")
        .body("pay 9");
    let waiting = tokio::spawn(request.send());
    let backend = system.workers["w-3"].backend;
    let running = || async {
        let history = system.get(backend, "/standin/history").await?;
        (history["ran"] == 1).then_some(())
    };
    wait_until("the request runs", running).await;
    first.process.signal("KILL");
    assert!(waiting.await.expect("no caller panics").is_err());
    let other = &system.hosts["entry-2"];
    let url = format!("http://{}/settlement/9", other.caller);
    let again = client
        .post(url)
        .header("sandshelf-key", "day-9")
        .body("pay 9");
    let answer = again.send().await.expect("an answer");
    assert_eq!(answer.status(), 409);
    assert_eq!(header(&answer, "sandshelf-verdict"), "may-have-run");
    let history = system.get(backend, "/standin/history").await;
    assert_eq!(history.expect("it answers")["ran"], 1);
}

/// How the answers of a backend server break the rules of HTTP.
#[derive(Clone, Copy)]
enum InvalidAnswer {
    /// The body ends before its declared length, and the connection is closed.
    Truncated,
    /// Each answer is sent twice.
    Duplicated,
}

/// Accepts connections and serves invalid answers on each; the body of an answer is the path of its request.
async fn serve_invalid_answers(listener: tokio::net::TcpListener, invalid: InvalidAnswer) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            return;
        };
        tokio::spawn(send_invalid_answers(stream, invalid));
    }
}

/// Answers each request of one connection with an invalid answer.
async fn send_invalid_answers(mut stream: tokio::net::TcpStream, invalid: InvalidAnswer) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut text = vec![0_u8; 4_096];
    while let Ok(count) = stream.read(&mut text).await {
        if count == 0 {
            return;
        }
        let head = String::from_utf8_lossy(&text[..count]).into_owned();
        let path = head.split_whitespace().nth(1).unwrap_or("").to_owned();
        let valid = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{path}",
            path.len()
        );
        let bytes = match invalid {
            InvalidAnswer::Truncated => valid[..valid.len() - 3].to_owned(),
            InvalidAnswer::Duplicated => format!("{valid}{valid}"),
        };
        if stream.write_all(bytes.as_bytes()).await.is_err() {
            return;
        }
        if matches!(invalid, InvalidAnswer::Truncated) {
            return;
        }
    }
}

/// Starts a system in which a backend server with invalid answers is the only server of `settlement`.
async fn system_with_invalid_server(invalid: InvalidAnswer) -> LocalSystem {
    let mut system = LocalSystem::start();
    system.add_worker("w-1", "north", "pricing", 5);
    system.add_host("entry-1", "north", support::LIMITS);
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port is free");
    let entry = HostEntry {
        name: "invalid-server".to_owned(),
        kind: HostKind::Backend {
            service: ServiceId::from("settlement"),
            worker: WorkerId::from("w-1"),
        },
        hall: HallId::from("north"),
        rack: RackId::from("rack"),
        address: listener.local_addr().expect("it listens"),
        state: HostState::Live,
    };
    tokio::spawn(serve_invalid_answers(listener, invalid));
    let url = format!("http://{}/standin/hosts", system.platform_address);
    let sent = Client::new().post(url).json(&entry).send().await;
    let listed = sent.and_then(Response::error_for_status);
    listed.expect("the stand-in accepts the host entry");
    apply(&system, "first", SET);
    system.wait_ready().await;
    let host = &system.hosts["entry-1"];
    let shared = || async {
        let status = system.get(host.operator, "/status").await?;
        let servers = status["servers"].as_array()?.clone();
        let shares = servers.iter().filter(|server| server["share"] == 8);
        (shares.count() == 2).then_some(())
    };
    wait_until("both servers' slots are shared", shared).await;
    system
}

/// A truncated answer counts as no answer: a request that must not be repeated gets the verdict that it may have run, and no
/// part of the truncated body is forwarded.
async fn answer_is_truncated() {
    let system = system_with_invalid_server(InvalidAnswer::Truncated).await;
    let url = format!("http://{}/settlement/1", system.hosts["entry-1"].caller);
    let answer = Client::new().get(url).send().await.expect("an answer");
    assert_eq!(answer.status(), 504);
    assert_eq!(header(&answer, "sandshelf-verdict"), "may-have-run");
    let body = answer.text().await.expect("a body");
    assert!(!body.contains("/settlement"), "{body}");
}

/// A backend server sends each answer twice on persistent connections: each caller gets the answer to its own request or
/// none.
async fn answer_is_duplicated() {
    let system = system_with_invalid_server(InvalidAnswer::Duplicated).await;
    let client = Client::new();
    let mut complete_answers = 0;
    for number in 0..60 {
        let path = format!("/settlement/{number}");
        let url = format!("http://{}{path}", system.hosts["entry-1"].caller);
        let answer = client.get(url).send().await.expect("an answer");
        if header(&answer, "sandshelf-verdict") == "ran" {
            assert_eq!(answer.text().await.expect("a body"), path);
            complete_answers += 1;
        }
    }
    assert!(complete_answers > 0, "no request was answered");
}

/// A backend server refuses requests because it is shutting down, while the platform's host list still shows it as live:
/// every request still succeeds, and within one exchange of news between the entry hosts all of them stop sending it
/// requests.
async fn backend_server_leaves() {
    let system = applied_system().await;
    let frozen = FaultPlan {
        list_frozen: true,
        ..FaultPlan::default()
    };
    system.set_faults(&frozen).await;
    let leaving = &system.workers["w-1"];
    set_behaviour(leaving, 5, true).await;
    let client = Client::new();
    let known_everywhere = || async {
        let mut known = 0;
        for host in system.hosts.values() {
            let url = format!("http://{}/pricing/1", host.caller);
            let answer = client.get(url).send().await.ok()?;
            assert_eq!(answer.status(), 200);
            let status = system.get(host.operator, "/status").await?;
            let servers = status["servers"].as_array()?.clone();
            let left = servers.iter().filter(|server| server["leaving"] == true);
            known += left.count();
        }
        (known == system.hosts.len()).then_some(())
    };
    wait_until(
        "every entry host knows that the server is leaving",
        known_everywhere,
    )
    .await;
    let history = system.get(leaving.backend, "/standin/history").await;
    let ran = history.expect("it answers")["ran"].clone();
    for host in system.hosts.values() {
        for number in 0..20 {
            let url = format!("http://{}/pricing/{number}", host.caller);
            let answer = client.get(url).send().await.expect("an answer");
            assert_eq!(answer.status(), 200);
            assert_ne!(header(&answer, "backend-server"), "pricing-w-1");
        }
    }
    let history = system.get(leaving.backend, "/standin/history").await;
    assert_eq!(history.expect("it answers")["ran"], ran);
}

/// Incomplete and malformed requests occupy no slots that other requests need. An incomplete body is answered with status
/// 408 after the timeout, a body over the limit with 413; a malformed request is answered with 400 or closes the connection.
async fn incomplete_requests() {
    let mut system = LocalSystem::start();
    system.add_worker("w-1", "north", "pricing", 1);
    let limits = r#""drain_ms": 100, "body_timeout_ms": 400, "max_body_bytes": 1000"#;
    system.add_host("entry-1", "north", limits);
    apply(&system, "first", SET);
    system.wait_ready().await;
    support::wait_for_shares(&system).await;
    let caller = system.hosts["entry-1"].caller;
    let mut halves = Vec::new();
    for _ in 0..100 {
        let mut stream = TcpStream::connect(caller).expect("a connection");
        let half = b"POST /pricing/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nhalf of a body that never comes";
        stream.write_all(half).expect("half a request is sent");
        halves.push(stream);
    }
    let client = Client::new();
    let url = format!("http://{caller}/pricing/1");
    for _ in 0..20 {
        let answer = client.get(&url).send().await.expect("an answer");
        assert_eq!(answer.status(), 200);
    }
    let mut first = halves.remove(0);
    first
        .set_read_timeout(Some(Duration::from_secs(30)))
        .expect("a timeout");
    let mut text = [0_u8; 64];
    let count = first.read(&mut text).expect("an answer");
    let text = String::from_utf8_lossy(&text[..count]).into_owned();
    assert!(text.starts_with("HTTP/1.1 408"), "{text}");
    let large = client
        .post(&url)
        .body("x".repeat(2_000))
        .send()
        .await
        .expect("an answer");
    assert_eq!(large.status(), 413);
    assert_eq!(header(&large, "sandshelf-verdict"), "not-run");
    let mut malformed = TcpStream::connect(caller).expect("a connection");
    malformed
        .write_all(b"no request at all\r\n\r\n")
        .expect("it is sent");
    malformed
        .set_read_timeout(Some(Duration::from_secs(30)))
        .expect("a timeout");
    let mut answer = Vec::new();
    let _ = malformed.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 400"),
        "{answer}"
    );
}

cases! {
    planned_stop_under_load_completes_answers => block_on(planned_stop_under_load());
    keyed_request_runs_at_most_once => block_on(keyed_request_repeated(false));
    keyed_request_survives_lost_claim_answers => block_on(keyed_request_repeated(true));
    keyed_request_survives_its_entry_host => block_on(keyed_request_outlives_its_host());
    truncated_answer_is_not_forwarded => block_on(answer_is_truncated());
    duplicate_answers_reach_no_other_caller => block_on(answer_is_duplicated());
    leaving_server_gets_no_new_requests => block_on(backend_server_leaves());
    incomplete_requests_occupy_no_slot => block_on(incomplete_requests());
}
