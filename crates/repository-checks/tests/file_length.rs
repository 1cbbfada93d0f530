//! Checks that no Rust file exceeds the line limit, so that each file can be read in one go.

mod common;

use common::files::{read, rust_files};

/// The largest number of lines of a Rust file, comments and blank lines included.
const MAX_FILE_LINES: usize = 300;

/// A Rust file with its text.
struct RustFile {
    path: String,
    text: String,
}

/// Returns the files with more lines than allowed, each with the number of lines.
fn files_over_the_limit(files: &[RustFile]) -> Vec<String> {
    let mut violations = Vec::new();
    for RustFile { path, text } in files {
        let lines = text.lines().count();
        if lines > MAX_FILE_LINES {
            violations.push(format!("{path}: {lines} lines"));
        }
    }
    violations
}

#[test]
fn no_rust_file_exceeds_the_line_limit() {
    let read_file =
        |path: std::path::PathBuf| RustFile { text: read(&path), path: path.display().to_string() };
    let files: Vec<_> = rust_files().into_iter().map(read_file).collect();

    let violations = files_over_the_limit(&files);

    assert!(files.len() > 200, "only {} Rust files found", files.len());
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn finds_a_file_with_one_line_more_than_allowed() {
    let with_lines = |path: &str, lines| RustFile { path: path.to_string(), text: "//\n".repeat(lines) };
    let files = [with_lines("allowed.rs", MAX_FILE_LINES), with_lines("planted.rs", MAX_FILE_LINES + 1)];

    let violations = files_over_the_limit(&files);

    assert_eq!(violations, ["planted.rs: 301 lines"]);
}
