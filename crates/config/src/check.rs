//! Checks across declarations: duplicate names, unknown teams, and tasks larger than their team's quota.

use std::collections::BTreeMap;

use crate::draft::{NameDeclaration, SetDraft};
use crate::fault::ConfigFault;
use crate::reader::SourceFile;

/// Adds a fault for each duplicate name, unknown team and task that is larger than its team's whole quota.
pub(crate) fn check_references(files: &[SourceFile], draft: &mut SetDraft) {
    let mut faults = find_duplicates(files, &draft.declarations);
    for declaration in &draft.declarations {
        faults.extend(check_team(files, draft, declaration));
    }
    draft.faults.append(&mut faults);
}

fn find_duplicates(files: &[SourceFile], declarations: &[NameDeclaration]) -> Vec<ConfigFault> {
    let mut first_declarations: BTreeMap<(&str, &str), &NameDeclaration> = BTreeMap::new();
    let mut faults = Vec::new();
    for declaration in declarations {
        let key = (declaration.kind, declaration.name.as_str());
        if let Some(first) = first_declarations.get(&key) {
            let problem = format!(
                "the {} '{}' is already declared in {}",
                declaration.kind, declaration.name, first.file
            );
            faults.push(declaration.fault(files, problem, "rename or remove one of them"));
        } else {
            first_declarations.insert(key, declaration);
        }
    }
    faults
}

fn check_team(
    files: &[SourceFile],
    draft: &SetDraft,
    declaration: &NameDeclaration,
) -> Option<ConfigFault> {
    let team = declaration.team.as_ref()?;
    let declared = draft
        .declarations
        .iter()
        .any(|declaration| declaration.kind == "team" && &declaration.name == team);
    if !declared {
        let problem = format!(
            "the job '{}' names an unknown team '{team}'",
            declaration.name
        );
        return Some(declaration.fault(files, problem, "declare the team or correct the name"));
    }
    let quota = draft
        .set
        .teams
        .iter()
        .find(|quota| quota.name.as_str() == team)?;
    let size = declaration.size?;
    if size.fits_in(&quota.quota) {
        return None;
    }
    let problem = format!(
        "a task of '{}' ({size}) is larger than the whole quota of '{team}' ({})",
        declaration.name, quota.quota
    );
    Some(declaration.fault(files, problem, "raise the quota or shrink the task"))
}
