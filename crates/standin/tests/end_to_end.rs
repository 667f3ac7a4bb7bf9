//! Tests of the complete system as separate processes: caller, entry hosts, backend servers, platform, workers.

mod support;

use reqwest::Client;
use sandshelf_cases::cases;
use sandshelf_standin::harness::wait_until;
use support::{applied_system, block_on, header};

async fn get_and_post_are_answered_completely() {
    let system = applied_system().await;
    let client = Client::new();
    let body = "lot 17 ".repeat(20_000);
    for host in system.hosts.values() {
        let url = format!("http://{}/pricing/lots/17?day=2", host.caller);
        let got = client.get(&url).header("x-asked", "twice").send().await;
        let got = got.expect("the entry host answers");
        assert_eq!(got.status(), 200);
        assert_eq!(header(&got, "sandshelf-verdict"), "ran");
        assert_eq!(header(&got, "echo-uri"), "/pricing/lots/17?day=2");
        assert_eq!(header(&got, "x-asked"), "twice");
        assert_eq!(
            header(&got, "x-frame-options"),
            "",
            "the entry host added a header of its own"
        );
        assert_eq!(
            got.text().await.expect("a body"),
            "GET /pricing/lots/17?day=2"
        );
        let posted = client.post(&url).body(body.clone()).send().await;
        let posted = posted.expect("the entry host answers");
        assert_eq!(posted.text().await.expect("a body"), body);
    }
}

async fn a_batch_job_finishes_and_is_shown() {
    let system = applied_system().await;
    let finished = || async {
        let output = system.command(&["show"]);
        let printed = String::from_utf8_lossy(&output.stdout).into_owned();
        let tasks = printed
            .lines()
            .filter(|line| line.starts_with("reconcile"))
            .filter_map(|line| line.split_whitespace().rev().nth(1)?.parse::<u32>().ok());
        let none_pending = !printed.contains("waiting") && !printed.contains("placed");
        (tasks.sum::<u32>() == 4 && none_pending).then_some(())
    };
    wait_until("the job's four tasks have finished", finished).await;
    let output = system.command(&["explain", "reconcile/0"]);
    let printed = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(printed.contains("finished; outputs under"), "{printed}");
}

async fn an_unknown_service_is_not_run() {
    let system = applied_system().await;
    let host = &system.hosts["entry-1"];
    let url = format!("http://{}/nowhere/17", host.caller);
    let answer = Client::new().get(url).send().await.expect("an answer");
    assert_eq!(answer.status(), 404);
    assert_eq!(header(&answer, "sandshelf-verdict"), "not-run");
    assert!(!header(&answer, "retry-after").is_empty());
}

async fn a_planned_stop_ends_with_code_zero() {
    let mut system = applied_system().await;
    let host = system.hosts.get_mut("entry-1").expect("it was started");
    host.process.signal("TERM");
    assert_eq!(host.process.wait_end(), Some(0));
}

cases! {
    requests_through_either_entry_host => block_on(get_and_post_are_answered_completely());
    batch_job_is_started_and_shown => block_on(a_batch_job_finishes_and_is_shown());
    undeclared_service_is_refused => block_on(an_unknown_service_is_not_run());
    planned_stop_is_clean => block_on(a_planned_stop_ends_with_code_zero());
}
