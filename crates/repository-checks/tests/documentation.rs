//! The pages for operators and newcomers name only existing files.

use repository_checks::in_repository;
use std::fs;
use std::path::Path;

/// The pages whose paths are checked.
const PAGES: [&str; 8] = [
    "README.md",
    "CONTRIBUTING.md",
    "deploy/example/README.md",
    "docs/ARCHITECTURE.md",
    "docs/configuration.md",
    "docs/design.md",
    "docs/on-call.md",
    "docs/runbook.md",
];
/// The folders with which a path of the repository may begin.
const FOLDERS: [&str; 6] = ["crates/", "src/", "tests/", "docs/", "deploy/", ".ci/"];
/// The endings by which a word is taken for a path of the repository.
const ENDINGS: [&str; 4] = [".rs", ".md", ".toml", ".json"];
/// The beginnings of paths outside the repository: the operators' kit, and files of a machine in service.
const FOREIGN: [&str; 5] = ["more/", "sites/", "bin/", "KIT/", "/"];

fn is_foreign(word: &str) -> bool {
    FOREIGN.iter().any(|prefix| word.starts_with(prefix))
}

fn looks_like_a_path(word: &str) -> bool {
    FOLDERS.iter().any(|folder| word.starts_with(folder))
        || ENDINGS.iter().any(|ending| word.ends_with(ending))
}

/// Returns all words of a page that look like paths of the repository, without punctuation. Paths in links
/// are relative to the page.
fn paths_in(page: &str, text: &str) -> Vec<String> {
    let folder = Path::new(page).parent().unwrap_or(Path::new(""));
    let is_mark = |c: char| c.is_whitespace() || "`()[],;|\"'<>".contains(c);
    let mut paths = Vec::new();
    for word in text.split(is_mark) {
        let word = word.trim_end_matches(['.', ':']);
        let is_pattern = word.contains('*') || word.contains('$') || word.contains("ADDRESS");
        if !looks_like_a_path(word) || is_foreign(word) || is_pattern {
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
    for page in PAGES {
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
