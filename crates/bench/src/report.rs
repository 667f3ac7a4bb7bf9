//! Runs the policy simulations and writes their results as tables and plots.

use std::fs;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread;

use plotters::prelude::*;
use sandshelf_model::Millis;

use crate::scenario::{OperatorKind, PolicyChoice, RunPlan, ScenarioKind, POLICIES};
use crate::sim::{run, RunResult};

/// Number of runs executed concurrently.
const THREADS: usize = 6;

/// Result of one policy in one scenario: medians over the seeds, and the worst p99.
///
/// With an even number of seeds the median is the higher of the two middle values.
#[derive(Clone, Debug, PartialEq)]
pub struct TableRow {
    /// The simulated operator.
    pub operator: OperatorKind,
    /// The simulated scenario.
    pub scenario: ScenarioKind,
    /// The policy's name.
    pub policy: &'static str,
    /// The 50th percentile of the request latency, in milliseconds.
    pub p50: f64,
    /// The 99th percentile, in milliseconds.
    pub p99: f64,
    /// The 99.9th percentile, in milliseconds.
    pub p999: f64,
    /// The highest 99th percentile of all seeds, in milliseconds.
    pub worst_p99: f64,
    /// Requests that were not answered, in percent of the arrived requests.
    pub lost_percent: f64,
    /// Batch work done and not lost, in task seconds at full speed.
    pub batch_s: f64,
    /// Number of evicted tasks.
    pub evictions: f64,
    /// Run time of attempts that ended without finish or checkpoint, in task seconds.
    pub wasted_s: f64,
    /// The longest time from the declaration of an urgent job to its start, in milliseconds.
    pub urgent_ms: f64,
}

/// Simulates every combination for `length_ms` of virtual time and returns one row per operator, scenario and policy, in that order.
///
/// # Panics
/// `seeds` is empty.
pub fn measure(
    operators: &[OperatorKind],
    scenarios: &[ScenarioKind],
    policies: &[PolicyChoice],
    seeds: &[u64],
    length_ms: Millis,
) -> Vec<TableRow> {
    let mut plans = Vec::new();
    for &operator in operators {
        for &scenario in scenarios {
            for &policy in policies {
                for &seed in seeds {
                    plans.push(RunPlan {
                        operator,
                        scenario,
                        policy,
                        seed,
                        length_ms,
                    });
                }
            }
        }
    }
    let results = run_all(&plans);
    let groups = plans.chunks(seeds.len()).zip(results.chunks(seeds.len()));
    groups
        .map(|(plans, results)| row(&plans[0], results))
        .collect()
}

fn run_all(plans: &[RunPlan]) -> Vec<RunResult> {
    let next = AtomicUsize::new(0);
    let done: Mutex<Vec<(usize, RunResult)>> = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| loop {
                let position = next.fetch_add(1, Ordering::Relaxed);
                let Some(plan) = plans.get(position) else {
                    return;
                };
                let result = run(*plan);
                done.lock().expect("no run panics").push((position, result));
            });
        }
    });
    let mut done = done.into_inner().expect("no run panics");
    done.sort_by_key(|(position, _)| *position);
    done.into_iter().map(|(_, result)| result).collect()
}

fn row(plan: &RunPlan, results: &[RunResult]) -> TableRow {
    let median = |value: &dyn Fn(&RunResult) -> f64| {
        let mut values: Vec<f64> = results.iter().map(value).collect();
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    };
    let worst = results.iter().map(|result| result.latency_ms(99.0));
    TableRow {
        operator: plan.operator,
        scenario: plan.scenario,
        policy: plan.policy.name,
        p50: median(&|result| result.latency_ms(50.0)),
        p99: median(&|result| result.latency_ms(99.0)),
        p999: median(&|result| result.latency_ms(99.9)),
        worst_p99: worst.fold(0.0, f64::max),
        lost_percent: median(&RunResult::lost_percent),
        batch_s: median(&|result| result.batch_s as f64),
        evictions: median(&|result| result.evictions as f64),
        wasted_s: median(&|result| result.wasted_s as f64),
        urgent_ms: median(&|result| result.urgent_ms as f64),
    }
}

/// Formats rows as a Markdown table.
pub fn to_markdown(rows: &[TableRow]) -> String {
    let mut text = String::from(
        "| operator | scenario | policy | p50 ms | p99 ms | p99.9 ms | worst p99 | not answered % | batch s | evictions | wasted s | urgent ms |\n\
         |---|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n",
    );
    for row in rows {
        text.push_str(&format!(
            "| {} | {} | {} | {:.0} | {:.0} | {:.0} | {:.0} | {:.2} | {:.0} | {:.0} | {:.0} | {:.0} |\n",
            row.operator.label(),
            row.scenario.label(),
            row.policy,
            row.p50,
            row.p99,
            row.p999,
            row.worst_p99,
            row.lost_percent,
            row.batch_s,
            row.evictions,
            row.wasted_s,
            row.urgent_ms
        ));
    }
    text
}

/// Draws bar charts of the 99th percentile and the batch work of each policy, grouped by scenario.
///
/// Writes two SVG files per operator into `directory`, which is created if needed.
///
/// # Errors
/// The directory can't be created or a file can't be written.
pub fn draw(rows: &[TableRow], directory: &Path) -> Result<(), String> {
    fs::create_dir_all(directory).map_err(|error| error.to_string())?;
    for operator in OperatorKind::ALL {
        let operator_rows: Vec<&TableRow> =
            rows.iter().filter(|row| row.operator == operator).collect();
        if operator_rows.is_empty() {
            continue;
        }
        let path = directory.join(format!("{}-p99.svg", operator.label()));
        draw_bars(&operator_rows, &path, "p99 in ms", |row| row.p99)?;
        let path = directory.join(format!("{}-batch.svg", operator.label()));
        draw_bars(&operator_rows, &path, "batch work in task seconds", |row| {
            row.batch_s
        })?;
    }
    Ok(())
}

fn draw_bars(
    rows: &[&TableRow],
    path: &Path,
    title: &str,
    value: impl Fn(&TableRow) -> f64,
) -> Result<(), String> {
    let to_message = |error: &dyn std::fmt::Display| error.to_string();
    let area = SVGBackend::new(path, (1_200, 500)).into_drawing_area();
    area.fill(&WHITE).map_err(|error| to_message(&error))?;
    let highest = rows.iter().map(|row| value(row)).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..rows.len() as f64, 0.0..highest * 1.1)
        .map_err(|error| to_message(&error))?;
    let mesh = chart.configure_mesh().disable_x_mesh().x_labels(0).draw();
    mesh.map_err(|error| to_message(&error))?;
    let bars = rows.iter().enumerate().map(|(position, row)| {
        let policy = POLICIES.iter().position(|policy| policy.name == row.policy);
        let color = Palette99::pick(policy.unwrap_or(0)).filled();
        let left = position as f64;
        Rectangle::new([(left + 0.1, 0.0), (left + 0.9, value(row))], color)
    });
    chart
        .draw_series(bars)
        .map_err(|error| to_message(&error))?;
    let labels = rows
        .iter()
        .enumerate()
        .filter(|(position, _)| position % POLICIES.len() == 0);
    let labels = labels.map(|(position, row)| {
        let style = ("sans-serif", 12).into_font();
        Text::new(
            row.scenario.label(),
            (position as f64, highest * 1.05),
            style,
        )
    });
    chart
        .draw_series(labels)
        .map_err(|error| to_message(&error))?;
    area.present().map_err(|error| to_message(&error))
}
