//! The runbook has a row for each line that the proxy logs, and for each error text that such a line may
//! carry, and no row for a line or text that does not exist.
//!
//! A row and a line of the sources are compared by their module and their text. The names of placeholders do
//! not count: `{error}`, `{}` and `{reason}` stand for any text.

use repository_checks::in_repository;
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// The folder of the sources that are searched. The module of a file is its path below this folder.
const SOURCE_ROOT: &str = "crates/balancer-proxy/src";
/// The page with the tables.
const RUNBOOK: &str = "docs/runbook.md";

/// The invocation whose first argument is the format of a log line.
const LOG_INVOCATION: &str = "log!(";
/// The attribute whose first argument is the text of an error.
const ERROR_ATTRIBUTE: &str = "#[error(";
/// The modules whose errors are a part of log lines.
const MODULES_OF_LOGGED_ERRORS: [&str; 3] =
    ["control::config::error", "control::discovery::client", "settings"];
/// The headings of the tables in the runbook.
const LOG_LINES_HEADING: &str = "## Log lines";
const ERROR_TEXTS_HEADING: &str = "## Error texts in log lines";

/// A log line or an error text: where it comes from, and its text with each placeholder as `{}`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LoggedText {
    module: String,
    text: String,
}

impl LoggedText {
    fn new(module: &str, text: &str) -> Self {
        Self { module: module.to_string(), text: without_placeholder_names(text) }
    }
}

/// The rows and the texts of the sources that have no counterpart.
#[derive(Debug, PartialEq, Eq)]
struct Differences {
    missing_in_the_runbook: Vec<LoggedText>,
    not_in_the_sources: Vec<LoggedText>,
}

impl Differences {
    fn between(sources: &BTreeSet<LoggedText>, runbook: &BTreeSet<LoggedText>) -> Self {
        Self {
            missing_in_the_runbook: sources.difference(runbook).cloned().collect(),
            not_in_the_sources: runbook.difference(sources).cloned().collect(),
        }
    }

    fn none() -> Self {
        Self { missing_in_the_runbook: Vec::new(), not_in_the_sources: Vec::new() }
    }
}

/// A source file: its module and its text without whole-line comments and unit tests.
struct SourceFile {
    module: String,
    code: String,
}

impl SourceFile {
    fn read(path: &Path, root: &Path) -> Self {
        let text = fs::read_to_string(path).unwrap();
        Self { module: module_of(path.strip_prefix(root).unwrap()), code: code_of(&text) }
    }

    /// The string literals that directly follow `opening`, as their format or text.
    ///
    /// Panics at a log line whose format is not a literal, as the runbook could not be checked for it.
    fn literals_after(&self, opening: &str) -> BTreeSet<LoggedText> {
        let mut literals = BTreeSet::new();
        for (position, _) in self.code.match_indices(opening) {
            let is_part_of_a_name = self.code[..position].ends_with(is_name_character);
            if is_part_of_a_name {
                continue;
            }
            let argument = self.code[position + opening.len()..].trim_start();
            match argument.strip_prefix('"') {
                Some(literal) => {
                    literals.insert(LoggedText::new(&self.module, &literal_content(literal)));
                }
                None => assert_ne!(opening, LOG_INVOCATION, "in {}: not a literal: {argument}", self.module),
            }
        }
        literals
    }
}

fn is_name_character(character: char) -> bool {
    character.is_alphanumeric() || character == '_'
}

/// The module of a file, such as `control` for the path `control/mod.rs`.
fn module_of(path: &Path) -> String {
    let path = path.with_extension("");
    let mut names: Vec<_> = path.iter().map(|name| name.to_str().unwrap()).collect();
    if names.last() == Some(&"mod") {
        names.pop();
    }
    names.join("::")
}

fn code_of(text: &str) -> String {
    let (code, _) = text.split_once("#[cfg(test)]").unwrap_or((text, ""));
    let lines = code.lines().filter(|line| !line.trim_start().starts_with("//"));
    lines.collect::<Vec<_>>().join("\n")
}

/// The content of a string literal, given what follows its opening quotation mark.
fn literal_content(literal: &str) -> String {
    let mut content = String::new();
    let mut characters = literal.chars();
    loop {
        match characters.next().expect("a string literal that ends") {
            '"' => return content,
            '\\' => content.push(characters.next().expect("an escaped character")),
            character => content.push(character),
        }
    }
}

/// The text with each placeholder, such as `{error}` or `{:016x}`, replaced by `{}`.
fn without_placeholder_names(text: &str) -> String {
    let mut parts = text.split('{');
    let mut plain = parts.next().unwrap_or_default().to_string();
    for part in parts {
        let (_, after) = part.split_once('}').expect("a placeholder that ends");
        plain.push_str("{}");
        plain.push_str(after);
    }
    plain
}

fn rust_files_below(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files.append(&mut rust_files_below(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

fn source_files() -> Vec<SourceFile> {
    let root = in_repository(SOURCE_ROOT);
    rust_files_below(&root).iter().map(|path| SourceFile::read(path, &root)).collect()
}

fn log_lines_of(files: &[SourceFile]) -> BTreeSet<LoggedText> {
    files.iter().flat_map(|file| file.literals_after(LOG_INVOCATION)).collect()
}

fn error_texts_of(files: &[SourceFile]) -> BTreeSet<LoggedText> {
    let logged = files.iter().filter(|file| MODULES_OF_LOGGED_ERRORS.contains(&file.module.as_str()));
    logged.flat_map(|file| file.literals_after(ERROR_ATTRIBUTE)).collect()
}

/// The rows of the first table below a heading. The first cell of a row is the text, the second its module,
/// each in backquotes.
fn table_rows(page: &str, heading: &str) -> BTreeSet<LoggedText> {
    let after_heading = page.lines().skip_while(|line| *line != heading);
    let table = after_heading.skip_while(|line| !line.starts_with('|'));
    let rows = table.take_while(|line| line.starts_with('|'));
    let head_and_rule = 2;
    rows.skip(head_and_rule).map(row).collect()
}

fn row(line: &str) -> LoggedText {
    let mut cells = line.split(" | ");
    let text = code_in(cells.next().unwrap_or_default().trim_start_matches("| "));
    let module = code_in(cells.next().unwrap_or_default());
    LoggedText::new(module, text)
}

/// The content of a cell that is one piece of code.
fn code_in(cell: &str) -> &str {
    let code = cell.trim().strip_prefix('`').and_then(|cell| cell.strip_suffix('`'));
    code.unwrap_or_else(|| panic!("not in backquotes: {cell}"))
}

fn planted_file(code: &str) -> SourceFile {
    SourceFile { module: "planted".to_string(), code: code_of(code) }
}

const PLANTED_PAGE: &str = "\
## Log lines

| line | module | meaning |
| --- | --- | --- |
| `started on {address}` | `planted` | it has started |
| `stopped` | `planted` | it has stopped |

## Other
";

#[test]
fn the_runbook_has_each_line_that_the_proxy_logs_and_no_other() {
    let runbook = fs::read_to_string(in_repository(RUNBOOK)).unwrap();

    let logged = log_lines_of(&source_files());
    let rows = table_rows(&runbook, LOG_LINES_HEADING);

    assert!(!logged.is_empty(), "no log line found below {SOURCE_ROOT}");
    assert_eq!(Differences::between(&logged, &rows), Differences::none());
}

#[test]
fn the_runbook_has_each_error_text_that_log_lines_carry_and_no_other() {
    let runbook = fs::read_to_string(in_repository(RUNBOOK)).unwrap();
    let files = source_files();

    let texts = error_texts_of(&files);
    let rows = table_rows(&runbook, ERROR_TEXTS_HEADING);

    for module in MODULES_OF_LOGGED_ERRORS {
        assert!(texts.iter().any(|text| text.module == module), "no error text found in {module}");
    }
    assert_eq!(Differences::between(&texts, &rows), Differences::none());
}

#[test]
fn a_logged_line_without_a_row_is_found() {
    let file = planted_file(
        "fn run() {\n    log!(\n        \"started on {}\", address);\n    log!(\"lost {count:>3}\");\n}",
    );

    let differences =
        Differences::between(&log_lines_of(&[file]), &table_rows(PLANTED_PAGE, LOG_LINES_HEADING));

    assert_eq!(differences.missing_in_the_runbook, [LoggedText::new("planted", "lost {}")]);
}

#[test]
fn a_row_whose_line_is_not_logged_is_found() {
    let file = planted_file("fn run() {\n    log!(\"started on {address}\");\n    // log!(\"stopped\");\n}");

    let differences =
        Differences::between(&log_lines_of(&[file]), &table_rows(PLANTED_PAGE, LOG_LINES_HEADING));

    assert_eq!(differences.not_in_the_sources, [LoggedText::new("planted", "stopped")]);
}

#[test]
fn a_line_that_another_module_logs_does_not_stand_for_the_row() {
    let file = SourceFile { module: "elsewhere".to_string(), code: "log!(\"stopped\");".to_string() };

    let differences =
        Differences::between(&log_lines_of(&[file]), &table_rows(PLANTED_PAGE, LOG_LINES_HEADING));

    assert_eq!(differences.missing_in_the_runbook, [LoggedText::new("elsewhere", "stopped")]);
    assert!(differences.not_in_the_sources.contains(&LoggedText::new("planted", "stopped")));
}

#[test]
fn a_module_is_named_after_its_path_below_the_sources() {
    let file = module_of(Path::new("control/config/error.rs"));
    let folder = module_of(Path::new("control/discovery/mod.rs"));

    assert_eq!(file, "control::config::error");
    assert_eq!(folder, "control::discovery");
}

#[test]
fn unit_tests_comments_and_other_macros_log_nothing() {
    let file = planted_file(
        "/// Like `log!(\"a\")`.\nfn run() { catalog!(\"b\"); }\n#[cfg(test)]\nmod tests { fn test() { log!(\"c\") } }",
    );

    assert_eq!(log_lines_of(&[file]), BTreeSet::new());
}

#[test]
#[should_panic(expected = "not a literal")]
fn a_log_line_without_a_literal_format_is_rejected() {
    let file = planted_file("fn run() { log!(FORMAT, address); }");

    log_lines_of(&[file]);
}

#[test]
fn error_texts_are_read_from_attributes_of_one_line_or_more() {
    let code = "enum E {\n #[error(transparent)]\n A(B),\n #[error(\"no {0}\")]\n C(D),\n #[error(\n \"e \\\"{}\\\"\"\n )]\n F }";

    let texts = planted_file(code).literals_after(ERROR_ATTRIBUTE);

    assert_eq!(texts, ["no {}", "e \"{}\""].map(|text| LoggedText::new("planted", text)).into());
}
