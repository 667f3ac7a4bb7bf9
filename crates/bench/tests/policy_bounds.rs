//! Checks the results of short deterministic policy runs against bounds, so that a change that makes decisions worse fails.

use sandshelf_bench::report::{measure, TableRow};
use sandshelf_bench::scenario::{OperatorKind, ScenarioKind, POLICIES};
use sandshelf_cases::cases;

const RUN_LENGTH_MS: u64 = 40_000;

fn rows(operator: OperatorKind, scenario: ScenarioKind) -> Vec<TableRow> {
    measure(
        &[operator],
        &[scenario],
        &POLICIES[..4],
        &[1],
        RUN_LENGTH_MS,
    )
}

fn row<'a>(rows: &'a [TableRow], policy: &str) -> &'a TableRow {
    let matching = rows.iter().find(|row| row.policy == policy);
    matching.expect("the policy was run")
}

/// Compares our policy with the better baseline: at most half of its p99, at most one percent less batch work, few evictions.
fn beats_the_baselines(operator: OperatorKind, scenario: ScenarioKind) {
    let rows = rows(operator, scenario);
    let (random, turn) = (row(&rows, "random+first-fit"), row(&rows, "turn+best-fit"));
    let ours = row(&rows, "ours");
    let p99 = random.p99.min(turn.p99);
    assert!(
        ours.p99 * 2.0 <= p99,
        "p99 {} ms, better baseline {p99} ms",
        ours.p99
    );
    let batch = random.batch_s.max(turn.batch_s);
    assert!(
        ours.batch_s >= batch * 0.98,
        "batch work {} task s, better baseline {batch} task s",
        ours.batch_s
    );
    assert!(
        ours.evictions * 5.0 <= turn.evictions.max(5.0),
        "{} evictions",
        ours.evictions
    );
}

/// Our policy leaves at most `max_lost_percent` of the requests unanswered.
fn answers_nearly_all(operator: OperatorKind, scenario: ScenarioKind, max_lost_percent: f64) {
    let rows = rows(operator, scenario);
    let ours = row(&rows, "ours");
    assert!(
        ours.lost_percent <= max_lost_percent,
        "{} % not answered",
        ours.lost_percent
    );
}

/// Two runs with the same parameters and seed give the same results.
fn repeats_exactly() {
    let first = rows(OperatorKind::Auction, ScenarioKind::NoisyWave);
    let second = rows(OperatorKind::Auction, ScenarioKind::NoisyWave);
    assert_eq!(first, second);
}

cases! {
    auction_at_the_peak => beats_the_baselines(OperatorKind::Auction, ScenarioKind::Peak);
    code_search_at_the_peak => beats_the_baselines(OperatorKind::CodeSearch, ScenarioKind::Peak);
    auction_with_a_rack_lost => answers_nearly_all(OperatorKind::Auction, ScenarioKind::RackLost, 1.0);
    code_search_with_a_rack_lost => answers_nearly_all(OperatorKind::CodeSearch, ScenarioKind::RackLost, 1.0);
    auction_with_an_entry_host_lost => answers_nearly_all(OperatorKind::Auction, ScenarioKind::EntryHostLost, 1.0);
    auction_with_sizes_declared_too_small => answers_nearly_all(OperatorKind::Auction, ScenarioKind::DeclaredTooSmall, 3.0);
    runs_repeat_exactly => repeats_exactly();
}
