//! Checks that unsafe code stays in the one crate that may have it. All other crates inherit the lint of the
//! workspace that forbids it, and would lose the lint with a table of lints of their own.

mod common;

use common::files::{self, rust_files};
use common::source_code::code_only;
use repository_checks::in_repository;
use std::fs;
use std::path::{Path, PathBuf};

/// The crate that may have unsafe code.
const CRATE_WITH_UNSAFE_CODE: &str = "crates/send-queue";

/// Returns whether code, of which comments and literals are removed, has the keyword `unsafe`.
fn has_unsafe_code(code: &str) -> bool {
    let is_identifier_character = |character: char| character.is_alphanumeric() || character == '_';
    code.split(|character| !is_identifier_character(character)).any(|word| word == "unsafe")
}

/// Returns whether a manifest inherits the lints of the workspace.
fn inherits_lints(manifest: &str) -> bool {
    manifest.contains("[lints]\nworkspace = true\n")
}

/// Returns the folders of all crates of the workspace.
fn crate_folders() -> Vec<PathBuf> {
    let entries = fs::read_dir(in_repository("crates")).unwrap();
    entries.map(|entry| Path::new("crates").join(entry.unwrap().file_name())).collect()
}

#[test]
fn no_file_of_another_crate_has_unsafe_code() {
    let with_unsafe_code: Vec<_> =
        rust_files().into_iter().filter(|path| has_unsafe_code(&code_only(&files::read(path)))).collect();

    assert_eq!(with_unsafe_code, [Path::new(CRATE_WITH_UNSAFE_CODE).join("src/lib.rs")]);
}

#[test]
fn every_other_crate_inherits_the_lints_of_the_workspace() {
    let workspace = files::read(Path::new("Cargo.toml"));
    let folders = crate_folders();
    let without_lints: Vec<_> =
        folders.iter().filter(|folder| !inherits_lints(&files::read(&folder.join("Cargo.toml")))).collect();

    assert!(workspace.contains("\nunsafe_code = \"forbid\"\n"));
    assert!(folders.len() > 5, "not all crates read: {folders:?}");
    assert_eq!(without_lints, [Path::new(CRATE_WITH_UNSAFE_CODE)]);
}

#[test]
fn finds_unsafe_code_but_not_the_word_in_names_comments_and_literals() {
    let safe = code_only("fn repeats_an_unsafe_request() { log(\"unsafe\"); } // unsafe {}\n");

    assert!(has_unsafe_code(&code_only("fn run() { unsafe { call() } }")));
    assert!(!has_unsafe_code(&safe));
}

#[test]
fn finds_a_crate_with_lints_of_its_own() {
    assert!(inherits_lints("[package]\nname = \"a\"\n\n[lints]\nworkspace = true\n"));
    assert!(!inherits_lints("[package]\nname = \"a\"\n\n[lints.rust]\nmissing_docs = \"warn\"\n"));
}
