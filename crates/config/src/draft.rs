//! What is collected while the files of a set are parsed.

use std::collections::BTreeMap;

use sandshelf_model::ResourceSize;

use crate::fault::ConfigFault;
use crate::intent::ConfigSet;
use crate::reader::SourceFile;

/// Declarations and faults collected while the files of a set are parsed.
#[derive(Default)]
pub(crate) struct SetDraft {
    pub(crate) set: ConfigSet,
    pub(crate) declarations: Vec<NameDeclaration>,
    pub(crate) faults: Vec<ConfigFault>,
    /// For each field that only one file of a set may contain: the file that contains it.
    pub(crate) single_fields: BTreeMap<&'static str, String>,
}

/// The name of a service, job or team, and where it is declared.
pub(crate) struct NameDeclaration {
    /// `service`, `job` or `team`.
    pub(crate) kind: &'static str,
    /// The declared name.
    pub(crate) name: String,
    /// The name of the file with the declaration.
    pub(crate) file: String,
    /// The byte position at which the declaration starts in the file.
    pub(crate) offset: usize,
    /// The team that a job refers to; none for a service or a team.
    pub(crate) team: Option<String>,
    /// The size of one task of a job; none for a service or a team, and where the declared size has a fault.
    pub(crate) size: Option<ResourceSize>,
}

impl NameDeclaration {
    pub(crate) fn new(kind: &'static str, name: &str, file: &str, offset: usize) -> Self {
        Self {
            kind,
            name: name.to_owned(),
            file: file.to_owned(),
            offset,
            team: None,
            size: None,
        }
    }

    pub(crate) fn fault(&self, files: &[SourceFile], problem: String, remedy: &str) -> ConfigFault {
        let file = files
            .iter()
            .find(|file| file.name == self.file)
            .expect("a declaration comes from one of the files");
        file.fault_at(self.offset, problem, remedy)
    }
}
