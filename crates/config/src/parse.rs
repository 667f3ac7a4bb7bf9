//! Parses files into a checked set or into the list of all their faults.

use jsonc_parser::ast::Value;
use jsonc_parser::{parse_to_ast, CollectOptions, ParseOptions};
use sandshelf_model::{JobId, ResourceSize, ServiceId, TeamId};

use crate::check::check_references;
use crate::draft::{NameDeclaration, SetDraft};
use crate::fault::{ConfigFault, FaultList};
use crate::intent::{
    BackendLimits, ConfigSet, JobKind, JobSpec, PolicyWeights, ServiceSpec, TeamQuota, UrgencyLevel,
};
use crate::reader::{ObjectReader, SourceFile};

/// The largest size that a task or a replica may declare.
const MAX_TASK_SIZE: ResourceSize = ResourceSize::new(1_024_000, 16_777_216, 64);
/// The largest quota of a team.
const MAX_QUOTA: ResourceSize = ResourceSize::new(1 << 40, 1 << 40, 1 << 20);
/// The longest deadline or tail target of a service, in milliseconds: one hour.
const MAX_REQUEST_MS: u64 = 3_600_000;
/// The longest declared run time of a task, in milliseconds: 30 days. Also the run time that a watch gets.
const MAX_RUN_MS: u64 = 30 * 24 * 3_600_000;
/// The maximum number of tasks of one job.
const MAX_TASKS_PER_JOB: u64 = 100_000;
/// The maximum number of replicas of one service.
const MAX_REPLICAS: u64 = 100_000;
/// The largest policy weight.
const MAX_WEIGHT: u64 = 100;
/// The maximum number of slots, and of connections, of one backend server.
const MAX_BACKEND_LIMIT: u64 = 10_000;

/// Parses and checks the files of one set.
///
/// # Errors
/// All faults of all files; a set with any fault is rejected as a whole.
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

/// Parses JSON with comments and trailing commas; property names have to be quoted. Returns none, and adds a fault, for an empty file or
/// a syntax error.
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
            faults.push(file.fault_at(error.range().start, problem, "correct the JSON here"));
            None
        }
    }
}

fn parse_file(file: &SourceFile, draft: &mut SetDraft) {
    let mut faults = Vec::new();
    if let Some(value) = parse_text(file, &mut faults) {
        if let Some(mut root) = ObjectReader::open(file, &value, "the file", &mut faults) {
            parse_lists(&mut root, draft);
            parse_single_fields(&mut root, draft);
            root.finish();
        }
    }
    draft.faults.append(&mut faults);
}

fn parse_lists(root: &mut ObjectReader<'_>, draft: &mut SetDraft) {
    for value in root.elements("services") {
        parse_service(root, value, draft);
    }
    for value in root.elements("jobs") {
        parse_job(root, value, JobKind::Batch, draft);
    }
    for value in root.elements("watches") {
        parse_job(root, value, JobKind::Watch, draft);
    }
    for value in root.elements("teams") {
        parse_team(root, value, draft);
    }
}

fn parse_service(root: &mut ObjectReader<'_>, value: &Value<'_>, draft: &mut SetDraft) {
    let (file, faults) = root.file_and_faults();
    let Some(mut reader) = ObjectReader::open(file, value, "a service", faults) else {
        return;
    };
    let offset = reader.offset();
    let name = reader.name("name");
    let repeatable = reader.flag("repeatable");
    let deadline_ms = reader.number("deadline_ms", 1, MAX_REQUEST_MS);
    let tail_target_ms = reader.number("tail_target_ms", 1, MAX_REQUEST_MS);
    let replicas = reader.number("replicas", 1, MAX_REPLICAS);
    let size = reader.size(&MAX_TASK_SIZE);
    reader.finish();
    if let Some(name) = &name {
        let declaration = NameDeclaration::new("service", name, &file.name, offset);
        draft.declarations.push(declaration);
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

fn parse_job(root: &mut ObjectReader<'_>, value: &Value<'_>, kind: JobKind, draft: &mut SetDraft) {
    let (file, faults) = root.file_and_faults();
    let Some(mut reader) = ObjectReader::open(file, value, "a job", faults) else {
        return;
    };
    let offset = reader.offset();
    let name = reader.name("name");
    let team = reader.name("team");
    let family = reader.text_or("family", name.as_deref().unwrap_or(""));
    let tasks = reader.number_or("tasks", 1, MAX_TASKS_PER_JOB, 1);
    let size = reader.size(&MAX_TASK_SIZE);
    let urgency = parse_urgency(&mut reader);
    let repeatable = match kind {
        JobKind::Batch => reader.flag("repeatable"),
        JobKind::Watch => Some(true),
    };
    let checkpoint = reader.flag_or("checkpoint", false);
    let run_ms = match kind {
        JobKind::Batch => reader.number("run_ms", 1, MAX_RUN_MS),
        JobKind::Watch => Some(MAX_RUN_MS),
    };
    let program = reader.text_or("program", "");
    reader.finish();
    if let (Some(name), Some(team)) = (&name, &team) {
        let mut declaration = NameDeclaration::new("job", name, &file.name, offset);
        declaration.team = Some(team.clone());
        declaration.size = size;
        draft.declarations.push(declaration);
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
            let problem = format!("'{other}' is not a valid urgency");
            reader.add_fault(reader.offset(), problem, "write urgent or normal");
            None
        }
    }
}

fn parse_team(root: &mut ObjectReader<'_>, value: &Value<'_>, draft: &mut SetDraft) {
    let (file, faults) = root.file_and_faults();
    let Some(mut reader) = ObjectReader::open(file, value, "a team", faults) else {
        return;
    };
    let offset = reader.offset();
    let name = reader.name("name");
    let quota = reader.size(&MAX_QUOTA);
    reader.finish();
    if let Some(name) = &name {
        draft
            .declarations
            .push(NameDeclaration::new("team", name, &file.name, offset));
    }
    if let (Some(name), Some(quota)) = (name, quota) {
        draft.set.teams.push(TeamQuota {
            name: TeamId::from(name),
            quota,
        });
    }
}

fn parse_single_fields(root: &mut ObjectReader<'_>, draft: &mut SetDraft) {
    if let Some(value) = root.find("weights") {
        record_single_field(root, "weights", draft);
        let (file, faults) = root.file_and_faults();
        if let Some(mut reader) = ObjectReader::open(file, value, "'weights'", faults) {
            draft.set.weights = parse_weights(&mut reader).unwrap_or_default();
            reader.finish();
        }
    }
    if let Some(value) = root.find("backends") {
        record_single_field(root, "backends", draft);
        let (file, faults) = root.file_and_faults();
        if let Some(mut reader) = ObjectReader::open(file, value, "'backends'", faults) {
            draft.set.backends = parse_backends(&mut reader).unwrap_or_default();
            reader.finish();
        }
    }
}

/// Records that a file of the set contains `field`; adds a fault if another file contains it too.
fn record_single_field(root: &mut ObjectReader<'_>, field: &'static str, draft: &mut SetDraft) {
    let file = root.file_and_faults().0.name.clone();
    if let Some(first) = draft.single_fields.insert(field, file) {
        let problem = format!("'{field}' is already set in {first}");
        root.add_fault(root.offset(), problem, "keep one of them");
    }
}

fn parse_weights(reader: &mut ObjectReader<'_>) -> Option<PolicyWeights> {
    let tail = reader.number("tail", 0, MAX_WEIGHT);
    let throughput = reader.number("throughput", 0, MAX_WEIGHT);
    let evictions = reader.number("evictions", 0, MAX_WEIGHT);
    Some(PolicyWeights {
        tail: tail? as u32,
        throughput: throughput? as u32,
        evictions: evictions? as u32,
    })
}

fn parse_backends(reader: &mut ObjectReader<'_>) -> Option<BackendLimits> {
    let slots = reader.number("slots", 1, MAX_BACKEND_LIMIT);
    let connections = reader.number("connections", 1, MAX_BACKEND_LIMIT);
    Some(BackendLimits {
        slots: slots? as u32,
        connections: connections? as u32,
    })
}

/// Parses a file that contains one object and reads it with `read`; otherwise returns all faults.
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
