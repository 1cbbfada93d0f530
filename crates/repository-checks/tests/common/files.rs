//! The files of the repository.

use repository_checks::in_repository;
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Folders at the root of the repository without sources: build results, records of runs and data of the
/// version control.
const FOLDERS_WITHOUT_SOURCES: [&str; 4] = ["target", "journal", "logs", ".git"];

/// Returns all files below a folder. The folder and the files are named relative to the root of the
/// repository.
pub fn files_below(folder: &Path) -> BTreeSet<PathBuf> {
    let mut files = BTreeSet::new();
    for entry in fs::read_dir(in_repository(folder)).unwrap() {
        let entry = entry.unwrap();
        let path = folder.join(entry.file_name());
        if !entry.path().is_dir() {
            files.insert(path);
        } else if !has_no_sources(&path) {
            files.append(&mut files_below(&path));
        }
    }
    files
}

fn has_no_sources(folder: &Path) -> bool {
    FOLDERS_WITHOUT_SOURCES.iter().any(|name| folder == Path::new(name))
}

/// Returns all Rust files below a folder.
pub fn rust_files_below(folder: &Path) -> BTreeSet<PathBuf> {
    let mut files = files_below(folder);
    files.retain(|path| path.extension().is_some_and(|extension| extension == "rs"));
    files
}

/// Returns all Rust files of the repository.
pub fn rust_files() -> BTreeSet<PathBuf> {
    rust_files_below(Path::new(""))
}

/// Returns the text of a file that is named relative to the root of the repository.
pub fn read(path: &Path) -> String {
    fs::read_to_string(in_repository(path)).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}
