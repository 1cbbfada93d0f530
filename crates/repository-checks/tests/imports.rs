//! Checks that imports name each item, so that a reader can find the origin of every name in a file.

mod common;

use common::files::{read, rust_files};
use common::source_code::code_only;
use common::use_declarations::{UsedPath, used_paths};
use std::path::Path;

/// Returns whether the path is the glob of a prelude in a test. No other globs are allowed.
fn is_prelude_of_a_test(file: &Path, path: &UsedPath) -> bool {
    let is_test = file.iter().any(|folder| folder == "tests");
    let segments: Vec<_> = path.segments.iter().map(String::as_str).collect();
    is_test && segments.ends_with(&["prelude", "*"])
}

/// Returns the forbidden imports and re-exports by glob in the text of a file.
fn forbidden_globs(file: &Path, text: &str) -> Vec<String> {
    let paths = used_paths(&code_only(text));
    let is_forbidden = |path: &&UsedPath| path.is_glob() && !is_prelude_of_a_test(file, path);
    let forbidden = paths.iter().filter(is_forbidden);
    forbidden.map(|path| format!("{}: {}", file.display(), path.display())).collect()
}

#[test]
fn only_tests_import_by_glob_and_only_preludes() {
    let files = rust_files();

    let violations: Vec<_> = files.iter().flat_map(|file| forbidden_globs(file, &read(file))).collect();

    assert!(files.len() > 200, "only {} Rust files found", files.len());
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn finds_globs_at_every_place_of_a_use_declaration() {
    let text = "\
use std::{fmt, io::{self, prelude::*}};
// use commented::*;
pub use interface::*;
mod tests {
    use super::*;
}
fn run() {
    use Outcome::*;
}
";

    let globs = forbidden_globs(Path::new("crates/planted/src/lib.rs"), text);

    let expected = ["std::io::prelude::*", "interface::*", "super::*", "Outcome::*"];
    assert_eq!(globs, expected.map(|path| format!("crates/planted/src/lib.rs: {path}")));
}

#[test]
fn a_test_may_import_only_the_prelude_of_a_crate_by_glob() {
    let text = "use proptest::prelude::*;\nuse balancer::*;\nuse prelude::Strategy;\n";

    let globs = forbidden_globs(Path::new("crates/planted/tests/random.rs"), text);

    assert_eq!(globs, ["crates/planted/tests/random.rs: balancer::*"]);
}
