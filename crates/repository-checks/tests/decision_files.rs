//! Limits on the files of the decision module. The operators rely on these limits when they review the files.

mod common;

use common::files::{files_below, read};
use common::source_code::code_only;
use common::use_declarations::used_paths;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// The largest number of lines of a decision file, comments and blank lines included.
const MAX_FILE_LINES: usize = 300;
/// The longest line of a decision file, in characters.
const MAX_LINE_CHARACTERS: usize = 110;
/// The file that re-exports the types of the decision module's interface.
const INTERFACE_FILE: &str = "crates/balancer/src/interface/mod.rs";

fn decision_files() -> BTreeSet<PathBuf> {
    files_below(Path::new("crates/balancer/src/decisions"))
}

/// Returns the files in the list `policy` of the deploy file.
fn policy_files() -> BTreeSet<PathBuf> {
    let deploy = read(Path::new("deploy/balancer.toml"));
    let (_, list) = deploy.split_once("policy = [").unwrap();
    let (list, _) = list.split_once(']').unwrap();
    let paths = list.split(',').map(|path| path.trim().trim_matches('"'));
    paths.filter(|path| !path.is_empty()).map(PathBuf::from).collect()
}

/// Returns a description of each limit that the text of a decision file exceeds.
fn exceeded_limits(text: &str) -> Vec<String> {
    let mut violations = Vec::new();
    let lines = text.lines().count();
    if lines > MAX_FILE_LINES {
        violations.push(format!("{lines} lines"));
    }
    for line in text.lines() {
        let characters = line.chars().count();
        if characters > MAX_LINE_CHARACTERS {
            violations.push(format!("a line of {characters} characters"));
        }
    }
    violations
}

/// Returns the names of the constants whose type is or contains `f64` or `Time`.
fn tuning_constants(text: &str) -> Vec<String> {
    let code = code_only(text);
    let mut names = Vec::new();
    for declaration in code.split("const ").skip(1) {
        let Some((name, rest)) = declaration.split_once(':') else { continue };
        let type_name = rest.split('=').next().unwrap_or_default();
        let is_constant =
            name.chars().all(|character| character.is_ascii_uppercase() || "_0123456789".contains(character));
        let mut words = type_name.split(|character: char| !character.is_alphanumeric());
        if is_constant && words.any(|word| word == "f64" || word == "Time") {
            names.push(name.to_string());
        }
    }
    names
}

/// Returns the names of the types that the interface re-exports.
fn interface_names(interface: &str) -> BTreeSet<String> {
    let paths = used_paths(&code_only(interface));
    paths.into_iter().filter_map(|path| path.segments.last().cloned()).collect()
}

/// Returns the imports of a decision file that import the interface by glob, or name a type of the interface
/// by another path than `crate::interface`.
fn indirect_imports(text: &str, interface: &BTreeSet<String>) -> Vec<String> {
    let mut violations = Vec::new();
    for path in used_paths(&code_only(text)) {
        let segments: Vec<_> = path.segments.iter().map(String::as_str).collect();
        let is_glob_of_interface = path.is_glob() && segments.contains(&"interface");
        let names_interface = segments.last().is_some_and(|name| interface.contains(*name));
        let is_direct = segments.len() == 3 && segments.starts_with(&["crate", "interface"]);
        if is_glob_of_interface || names_interface && !is_direct {
            violations.push(path.display());
        }
    }
    violations
}

#[test]
fn policy_names_every_file_of_the_decision_module() {
    assert_eq!(policy_files(), decision_files());
}

#[test]
fn no_decision_file_exceeds_the_limits_of_lines_and_characters() {
    for file in decision_files() {
        let violations = exceeded_limits(&read(&file));

        assert!(violations.is_empty(), "{}: {violations:?}", file.display());
    }
}

#[test]
fn finds_a_decision_file_with_too_many_lines_or_too_long_a_line() {
    let allowed = format!("{}\n", "é".repeat(MAX_LINE_CHARACTERS)).repeat(MAX_FILE_LINES);
    let planted = format!("{allowed}{}\n", "x".repeat(MAX_LINE_CHARACTERS + 1));

    assert!(exceeded_limits(&allowed).is_empty());
    assert_eq!(exceeded_limits(&planted), ["301 lines", "a line of 111 characters"]);
}

#[test]
fn decision_files_import_interface_types_by_name_from_the_interface() {
    let interface = interface_names(&read(Path::new(INTERFACE_FILE)));
    assert!(interface.contains("Event") && interface.contains("Action"), "{interface:?}");

    let mut importing_files = 0;
    let mut violations = Vec::new();
    for file in decision_files() {
        let text = read(&file);
        importing_files += usize::from(text.contains("use crate::interface::"));
        let of_file = indirect_imports(&text, &interface);
        violations.extend(of_file.into_iter().map(|import| format!("{}: {import}", file.display())));
    }

    assert!(violations.is_empty(), "{violations:#?}");
    assert!(importing_files > 1, "only {importing_files} decision files import the interface");
}

#[test]
fn finds_imports_of_interface_types_by_glob_or_by_other_paths() {
    let interface = interface_names("mod event;\npub use event::{Event, Outcome};\npub use ids::Time;\n");
    let text = "\
use crate::interface::{Event, Time};
use crate::interface::*;
use crate::{Outcome, state::Call};
use super::Event as Happening;
";

    let violations = indirect_imports(text, &interface);

    assert_eq!(violations, ["crate::interface::*", "crate::Outcome", "super::Event"]);
}

#[test]
fn every_file_that_declares_a_tuning_constant_is_named_as_policy() {
    let policy = policy_files();
    let sources = files_below(Path::new("crates/balancer/src"));

    let mut files_with_constants = 0;
    let mut violations = Vec::new();
    for file in sources {
        let constants = tuning_constants(&read(&file));
        files_with_constants += usize::from(!constants.is_empty());
        if !constants.is_empty() && !policy.contains(&file) {
            violations.push(format!("{}: {constants:?}", file.display()));
        }
    }

    assert!(files_with_constants > 5, "tuning constants found only in {files_with_constants} files");
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn finds_constants_of_times_and_other_real_numbers() {
    let planted = "\
pub(super) const MAX_WAIT: Time = 1.0;
    const WEIGHT: f64 = 0.3;
const SPAN: crate::Time = 0.3;
const STEPS_2: [f64; 2] =
    [1.0, 2.0];
";
    let allowed = "\
// const COMMENTED: f64 = 0.3;
const KIND_BITS: u32 = 2;
const fn double(value: f64) -> f64 { 2.0 * value }
const TIMES: usize = 3;
";

    assert_eq!(tuning_constants(planted), ["MAX_WAIT", "WEIGHT", "SPAN", "STEPS_2"]);
    assert!(tuning_constants(allowed).is_empty());
}
