//! Loads the files of a set from a directory or a list of paths.

use std::fs;
use std::path::{Path, PathBuf};

use crate::fault::{ConfigFault, FaultList};
use crate::reader::SourceFile;

/// The maximum total size of the files in one directory, or of one file that is given by its path, in bytes.
pub const MAX_SET_BYTES: u64 = 4 * 1024 * 1024;

/// Reads every `.json` and `.jsonc` file directly in `directory`, sorted by name; subdirectories are ignored.
///
/// # Errors
/// The directory or a file can't be read, the directory has no such file, or the files together exceed [`MAX_SET_BYTES`].
pub fn read_directory(directory: &Path) -> Result<Vec<SourceFile>, FaultList> {
    let entries = fs::read_dir(directory).map_err(|error| {
        path_fault(
            directory,
            &format!("can't be read: {error}"),
            "correct the path",
        )
    })?;
    let mut paths: Vec<PathBuf> = entries
        .filter_map(|entry| entry.ok().map(|entry| entry.path()))
        .filter(|path| has_set_extension(path))
        .collect();
    paths.sort();
    if paths.is_empty() {
        return Err(path_fault(
            directory,
            "contains no .json or .jsonc file",
            "give the directory with the files of a set",
        ));
    }
    read_files(&paths)
}

/// Reads files, and the files of directories, in the order given.
///
/// # Errors
/// Those of [`read_directory`], for each path.
pub fn read_paths(paths: &[PathBuf]) -> Result<Vec<SourceFile>, FaultList> {
    let mut files = Vec::new();
    for path in paths {
        if path.is_dir() {
            files.extend(read_directory(path)?);
        } else {
            files.extend(read_files(std::slice::from_ref(path))?);
        }
    }
    Ok(files)
}

fn has_set_extension(path: &Path) -> bool {
    let extension = path.extension().and_then(|extension| extension.to_str());
    matches!(extension, Some("json" | "jsonc"))
}

fn read_files(paths: &[PathBuf]) -> Result<Vec<SourceFile>, FaultList> {
    let mut files = Vec::new();
    let mut total = 0;
    for path in paths {
        let size = fs::metadata(path)
            .map(|metadata| metadata.len())
            .unwrap_or(0);
        total += size;
        if total > MAX_SET_BYTES {
            let problem = format!("makes the set larger than {MAX_SET_BYTES} bytes");
            return Err(path_fault(
                path,
                &problem,
                "split the set or remove jobs that have ended",
            ));
        }
        let text = fs::read_to_string(path).map_err(|error| {
            path_fault(path, &format!("can't be read: {error}"), "correct the file")
        })?;
        files.push(SourceFile::new(&path.display().to_string(), &text));
    }
    Ok(files)
}

fn path_fault(path: &Path, problem: &str, remedy: &str) -> FaultList {
    let fault = ConfigFault {
        file: path.display().to_string(),
        line: 0,
        column: 0,
        problem: problem.to_owned(),
        remedy: remedy.to_owned(),
    };
    FaultList {
        faults: vec![fault],
    }
}
