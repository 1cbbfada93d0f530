//! Checks that the pages for operators and new engineers name only existing files and modules.

use repository_checks::in_repository;
use std::fs;
use std::path::Path;

/// The page that lists the concerns of the decision module.
const CONTRIBUTING_PAGE: &str = "CONTRIBUTING.md";
/// The text before the list of concerns.
const CONCERNS_BEGIN: &str = "in a module named after it, with private fields:";
/// The text after the list of concerns.
const CONCERNS_END: &str = ". ";
/// The folder of the modules that are named after the concerns.
const DECISIONS_FOLDER: &str = "crates/balancer/src/decisions";
/// The pages whose paths are checked.
const CHECKED_PAGES: [&str; 10] = [
    "README.md",
    "CONTRIBUTING.md",
    "deploy/example/README.md",
    "docs/ARCHITECTURE.md",
    "docs/CAPACITY.md",
    "docs/configuration.md",
    "docs/design.md",
    "docs/on-call.md",
    "docs/open.md",
    "docs/runbook.md",
];
/// The beginnings of a word that is checked as a path of the repository.
const PATH_PREFIXES: [&str; 6] = ["crates/", "src/", "tests/", "docs/", "deploy/", ".ci/"];
/// The endings of a word that is checked as a path of the repository.
const PATH_SUFFIXES: [&str; 4] = [".rs", ".md", ".toml", ".json"];
/// The beginnings of paths outside the repository: files of the operators' kit, and files on production
/// machines.
const OUTSIDE_PREFIXES: [&str; 5] = ["more/", "sites/", "bin/", "KIT/", "/"];

fn is_outside_the_repository(word: &str) -> bool {
    OUTSIDE_PREFIXES.iter().any(|prefix| word.starts_with(prefix))
}

fn looks_like_a_path(word: &str) -> bool {
    PATH_PREFIXES.iter().any(|folder| word.starts_with(folder))
        || PATH_SUFFIXES.iter().any(|ending| word.ends_with(ending))
}

/// Returns all words of a page that look like paths of the repository, without punctuation. Paths in links
/// are relative to the page.
fn paths_in(page: &str, text: &str) -> Vec<String> {
    let folder = Path::new(page).parent().unwrap_or(Path::new(""));
    let is_separator = |c: char| c.is_whitespace() || "`()[],;|\"'<>".contains(c);
    let mut paths = Vec::new();
    for word in text.split(is_separator) {
        let word = word.trim_end_matches(['.', ':']);
        let is_pattern = word.contains('*') || word.contains('$') || word.contains("ADDRESS");
        if !looks_like_a_path(word) || is_outside_the_repository(word) || is_pattern {
            continue;
        }
        let from_root = Path::new(word);
        let path =
            if in_repository(from_root).exists() { from_root.to_path_buf() } else { folder.join(word) };
        paths.push(path.display().to_string());
    }
    paths
}

#[test]
fn every_path_that_the_pages_name_exists() {
    for page in CHECKED_PAGES {
        let text = fs::read_to_string(in_repository(page)).unwrap();
        let paths = paths_in(page, &text);

        let missing: Vec<_> = paths.iter().filter(|path| !in_repository(path).exists()).collect();

        assert!(!paths.is_empty(), "{page} names no path");
        assert!(missing.is_empty(), "{page} names {missing:?}");
    }
}

#[test]
fn finds_a_path_that_does_not_exist() {
    let text = "See `src/proxy/absent.rs`, [design](design.md) and more/ops/bin/lbreal.";

    let paths = paths_in("docs/on-call.md", text);

    assert_eq!(paths, ["docs/src/proxy/absent.rs", "docs/design.md"]);
}

/// Returns the names of the modules in the list of the concerns.
fn concerns_in(text: &str) -> Vec<&str> {
    let (_, list) = text.split_once(CONCERNS_BEGIN).unwrap_or_default();
    let (list, _) = list.split_once(CONCERNS_END).unwrap_or((list, ""));
    list.split('`').skip(1).step_by(2).collect()
}

/// Returns whether a module is named after the concern.
fn is_module(concern: &str) -> bool {
    let folder = in_repository(DECISIONS_FOLDER);
    folder.join(format!("{concern}.rs")).exists() || folder.join(concern).join("mod.rs").exists()
}

#[test]
fn every_concern_that_the_contributing_page_names_is_a_module() {
    let text = fs::read_to_string(in_repository(CONTRIBUTING_PAGE)).unwrap();

    let concerns = concerns_in(&text);
    let unknown: Vec<_> = concerns.iter().filter(|concern| !is_module(concern)).collect();

    assert!(concerns.len() > 5, "{concerns:?}");
    assert!(unknown.is_empty(), "{unknown:?}");
}

#[test]
fn finds_a_concern_without_a_module() {
    let text = "One type for each, in a module named after it, with private fields:\n`subset`, `absent`. More `words`.";

    let concerns = concerns_in(text);

    assert_eq!(concerns, ["subset", "absent"]);
    assert!(is_module("subset") && !is_module("absent"));
}
