//! Turns files into a checked set, or into every fault that they have.

use std::collections::BTreeMap;

use jsonc_parser::ast::Value;
use jsonc_parser::{parse_to_ast, CollectOptions, ParseOptions};
use sandshelf_model::{JobId, ResourceSize, ServiceId, TeamId};

use crate::check::{check_references, PlacedName};
use crate::fault::{ConfigFault, FaultList};
use crate::intent::{
    BackendLimits, ConfigSet, JobKind, JobSpec, PolicyWeights, ServiceSpec, TeamQuota, UrgencyLevel,
};
use crate::reader::{ObjectReader, SourceFile};

/// The largest machine that a task may ask for.
const LARGEST_TASK: ResourceSize = ResourceSize::new(1_024_000, 16_777_216, 64);
/// The largest quota that a team may have.
const LARGEST_QUOTA: ResourceSize = ResourceSize::new(1 << 40, 1 << 40, 1 << 20);
/// The longest deadline or tail target: one hour.
const LONGEST_REQUEST_MS: u64 = 3_600_000;
/// The longest declared run time: thirty days.
const LONGEST_RUN_MS: u64 = 30 * 24 * 3_600_000;
/// The most tasks that one job may have.
const MOST_TASKS: u64 = 100_000;
/// The most replicas of one service.
const MOST_REPLICAS: u64 = 100_000;
/// The largest weight.
const LARGEST_WEIGHT: u64 = 100;
/// The most slots or connections of one backend server.
const MOST_SLOTS: u64 = 10_000;

/// What is gathered while the files of a set are read.
#[derive(Default)]
pub(crate) struct SetDraft {
    pub(crate) set: ConfigSet,
    pub(crate) names: Vec<PlacedName>,
    pub(crate) faults: Vec<ConfigFault>,
    pub(crate) singles: BTreeMap<&'static str, String>,
}

/// Parses and checks the files of one set.
///
/// # Errors
/// Every fault of every file; nothing of a faulty set is returned.
pub fn parse_set(files: &[SourceFile]) -> Result<ConfigSet, FaultList> {
    let mut draft = SetDraft::default();
    for file in files {
        parse_file(file, &mut draft);
    }
    check_references(files, &mut draft);
    if draft.faults.is_empty() {
        return Ok(draft.set);
    }
    Err(FaultList {
        faults: draft.faults,
    })
}

/// Parses JSON with comments, without the looser forms that the library also takes.
pub(crate) fn parse_text<'a>(
    file: &'a SourceFile,
    faults: &mut Vec<ConfigFault>,
) -> Option<Value<'a>> {
    let options = ParseOptions {
        allow_comments: true,
        allow_loose_object_property_names: false,
        allow_trailing_commas: true,
        ..Default::default()
    };
    match parse_to_ast(&file.text, &CollectOptions::default(), &options) {
        Ok(result) => {
            if result.value.is_none() {
                let problem = "the file is empty".to_owned();
                faults.push(file.fault_at(0, problem, "write an object: { ... }"));
            }
            result.value
        }
        Err(error) => {
            let problem = error.kind().to_string();
            faults.push(file.fault_at(error.range().start, problem, "mend the JSON here"));
            None
        }
    }
}

fn parse_file(file: &SourceFile, draft: &mut SetDraft) {
    let mut faults = Vec::new();
    if let Some(value) = parse_text(file, &mut faults) {
        if let Some(mut top) = ObjectReader::open(file, &value, "the file", &mut faults) {
            parse_lists(&mut top, draft);
            parse_singles(&mut top, draft);
            top.finish();
        }
    }
    draft.faults.append(&mut faults);
}

fn parse_lists(top: &mut ObjectReader<'_>, draft: &mut SetDraft) {
    for value in top.elements("services") {
        parse_service(top, value, draft);
    }
    for value in top.elements("jobs") {
        parse_job(top, value, JobKind::Batch, draft);
    }
    for value in top.elements("watches") {
        parse_job(top, value, JobKind::Watch, draft);
    }
    for value in top.elements("teams") {
        parse_team(top, value, draft);
    }
}

fn parse_service(top: &mut ObjectReader<'_>, value: &Value<'_>, draft: &mut SetDraft) {
    let (file, faults) = top.lend();
    let Some(mut reader) = ObjectReader::open(file, value, "a service", faults) else {
        return;
    };
    let offset = reader.offset();
    let name = reader.name("name");
    let repeatable = reader.flag("repeatable");
    let deadline_ms = reader.number("deadline_ms", 1, LONGEST_REQUEST_MS);
    let tail_target_ms = reader.number("tail_target_ms", 1, LONGEST_REQUEST_MS);
    let replicas = reader.number("replicas", 1, MOST_REPLICAS);
    let size = reader.size(&LARGEST_TASK);
    reader.finish();
    if let Some(name) = &name {
        let placed = PlacedName::new("service", name, &file.name, offset);
        draft.names.push(placed);
    }
    let spec = (|| {
        Some(ServiceSpec {
            name: ServiceId::from(name?),
            repeatable: repeatable?,
            deadline_ms: deadline_ms?,
            tail_target_ms: tail_target_ms?,
            replicas: replicas? as u32,
            size: size?,
        })
    })();
    draft.set.services.extend(spec);
}

fn parse_job(top: &mut ObjectReader<'_>, value: &Value<'_>, kind: JobKind, draft: &mut SetDraft) {
    let (file, faults) = top.lend();
    let Some(mut reader) = ObjectReader::open(file, value, "a job", faults) else {
        return;
    };
    let offset = reader.offset();
    let name = reader.name("name");
    let team = reader.name("team");
    let family = reader.text_or("family", name.as_deref().unwrap_or(""));
    let tasks = reader.number_or("tasks", 1, MOST_TASKS, 1);
    let size = reader.size(&LARGEST_TASK);
    let urgency = parse_urgency(&mut reader);
    let repeatable = match kind {
        JobKind::Batch => reader.flag("repeatable"),
        JobKind::Watch => Some(true),
    };
    let checkpoint = reader.flag_or("checkpoint", false);
    let run_ms = match kind {
        JobKind::Batch => reader.number("run_ms", 1, LONGEST_RUN_MS),
        JobKind::Watch => Some(LONGEST_RUN_MS),
    };
    let program = reader.text_or("program", "");
    reader.finish();
    if let (Some(name), Some(team)) = (&name, &team) {
        let mut placed = PlacedName::new("job", name, &file.name, offset);
        placed.team = Some(team.clone());
        placed.size = size;
        draft.names.push(placed);
    }
    let spec = (|| {
        Some(JobSpec {
            name: JobId::from(name?),
            kind,
            team: TeamId::from(team?),
            family: family?,
            tasks: tasks? as u32,
            size: size?,
            urgency: urgency?,
            repeatable: repeatable?,
            checkpoint: checkpoint?,
            run_ms: run_ms?,
            program: program?,
        })
    })();
    draft.set.jobs.extend(spec);
}

fn parse_urgency(reader: &mut ObjectReader<'_>) -> Option<UrgencyLevel> {
    match reader.text_or("urgency", "normal")?.as_str() {
        "urgent" => Some(UrgencyLevel::Urgent),
        "normal" => Some(UrgencyLevel::Normal),
        other => {
            let problem = format!("'{other}' is no urgency");
            reader.note(reader.offset(), problem, "write urgent or normal");
            None
        }
    }
}

fn parse_team(top: &mut ObjectReader<'_>, value: &Value<'_>, draft: &mut SetDraft) {
    let (file, faults) = top.lend();
    let Some(mut reader) = ObjectReader::open(file, value, "a team", faults) else {
        return;
    };
    let offset = reader.offset();
    let name = reader.name("name");
    let quota = reader.size(&LARGEST_QUOTA);
    reader.finish();
    if let Some(name) = &name {
        draft
            .names
            .push(PlacedName::new("team", name, &file.name, offset));
    }
    if let (Some(name), Some(quota)) = (name, quota) {
        draft.set.teams.push(TeamQuota {
            name: TeamId::from(name),
            quota,
        });
    }
}

fn parse_singles(top: &mut ObjectReader<'_>, draft: &mut SetDraft) {
    if let Some(value) = top.find("weights") {
        claim_single(top, "weights", draft);
        let (file, faults) = top.lend();
        if let Some(mut reader) = ObjectReader::open(file, value, "'weights'", faults) {
            draft.set.weights = parse_weights(&mut reader).unwrap_or_default();
            reader.finish();
        }
    }
    if let Some(value) = top.find("backends") {
        claim_single(top, "backends", draft);
        let (file, faults) = top.lend();
        if let Some(mut reader) = ObjectReader::open(file, value, "'backends'", faults) {
            draft.set.backends = parse_backends(&mut reader).unwrap_or_default();
            reader.finish();
        }
    }
}

/// Notes a field that may stand in only one file of a set.
fn claim_single(top: &mut ObjectReader<'_>, field: &'static str, draft: &mut SetDraft) {
    let file = top.lend().0.name.clone();
    if let Some(first) = draft.singles.insert(field, file) {
        let problem = format!("'{field}' already stands in {first}");
        top.note(top.offset(), problem, "keep one of them");
    }
}

fn parse_weights(reader: &mut ObjectReader<'_>) -> Option<PolicyWeights> {
    let tail = reader.number("tail", 0, LARGEST_WEIGHT);
    let throughput = reader.number("throughput", 0, LARGEST_WEIGHT);
    let evictions = reader.number("evictions", 0, LARGEST_WEIGHT);
    Some(PolicyWeights {
        tail: tail? as u32,
        throughput: throughput? as u32,
        evictions: evictions? as u32,
    })
}

fn parse_backends(reader: &mut ObjectReader<'_>) -> Option<BackendLimits> {
    let slots = reader.number("slots", 1, MOST_SLOTS);
    let connections = reader.number("connections", 1, MOST_SLOTS);
    Some(BackendLimits {
        slots: slots? as u32,
        connections: connections? as u32,
    })
}

/// Parses a file that holds one object and reads it, or collects every fault.
pub(crate) fn parse_object<T>(
    file: &SourceFile,
    read: impl FnOnce(&mut ObjectReader<'_>) -> Option<T>,
) -> Result<T, FaultList> {
    let mut faults = Vec::new();
    let mut object = None;
    if let Some(value) = parse_text(file, &mut faults) {
        if let Some(mut reader) = ObjectReader::open(file, &value, "the file", &mut faults) {
            object = read(&mut reader);
            reader.finish();
        }
    }
    match object {
        Some(object) if faults.is_empty() => Ok(object),
        _ => Err(FaultList { faults }),
    }
}
