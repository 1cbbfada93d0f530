//! Limits on the decision module that the operators' reviews rest on.

use repository_checks::in_repository;
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// The most non-blank lines that all policy files may hold together, comments included (BENCH).
const MAX_POLICY_LINES: usize = 1200;
/// The longest line of a policy file, in characters.
const MAX_LINE_CHARACTERS: usize = 110;

/// All files below a folder, relative to the root of the repository.
fn files_below(folder: &Path) -> BTreeSet<PathBuf> {
    let mut files = BTreeSet::new();
    for entry in fs::read_dir(in_repository(folder)).unwrap() {
        let entry = entry.unwrap();
        let path = folder.join(entry.file_name());
        if entry.path().is_dir() {
            files.append(&mut files_below(&path));
        } else {
            files.insert(path);
        }
    }
    files
}

fn decision_files() -> BTreeSet<PathBuf> {
    files_below(Path::new("crates/balancer/src/decisions"))
}

/// The files that the deploy file names as policy.
fn policy_files() -> BTreeSet<PathBuf> {
    let deploy = fs::read_to_string(in_repository("deploy/balancer.toml")).unwrap();
    let (_, list) = deploy.split_once("policy = [").unwrap();
    let (list, _) = list.split_once(']').unwrap();
    list.split(',')
        .map(|path| path.trim().trim_matches('"'))
        .filter(|path| !path.is_empty())
        .map(PathBuf::from)
        .collect()
}

#[test]
fn policy_names_every_file_of_the_decision_module() {
    assert_eq!(policy_files(), decision_files());
}

#[test]
fn the_decision_module_keeps_to_the_line_limits() {
    let mut lines = 0;
    let mut longest = 0;

    for file in decision_files() {
        let text = fs::read_to_string(in_repository(file)).unwrap();
        lines += text.lines().filter(|line| !line.trim().is_empty()).count();
        longest = longest.max(text.lines().map(|line| line.chars().count()).max().unwrap_or(0));
    }

    assert!(lines <= MAX_POLICY_LINES, "{lines} lines");
    assert!(longest <= MAX_LINE_CHARACTERS, "a line of {longest}");
}

#[test]
fn the_decision_module_names_its_interface_first() {
    let text = fs::read_to_string(in_repository("crates/balancer/src/decisions/mod.rs")).unwrap();

    assert!(text.lines().take(3).any(|line| line.contains("crate::interface")));
}

#[test]
fn the_state_beside_the_decisions_holds_no_tuning_constant() {
    for file in files_below(Path::new("crates/balancer/src/state")) {
        let text = fs::read_to_string(in_repository(&file)).unwrap();
        let tuning =
            |line: &&str| line.contains("const ") && (line.contains(": f64") || line.contains(": Time"));

        assert_eq!(text.lines().find(tuning), None, "{}", file.display());
    }
}
