//! Checks that the runbook has a row for each log line of the proxy and for each error text that a log line
//! may contain, and that it has no other rows.
//!
//! A row matches a text of the sources if the module and the text are equal. The names of placeholders are
//! ignored: `{error}`, `{}` and `{reason}` are equal.

#[path = "../common/mod.rs"]
mod common;

mod logged_text;
mod runbook;
mod sources;

use common::files::read;
use logged_text::{Differences, LoggedText};
use runbook::table_rows;
use sources::{
    ERROR_ATTRIBUTE, MODULES_OF_LOGGED_ERRORS, SOURCE_ROOT, SourceFile, error_texts_of, log_lines_of,
    module_of, source_files,
};
use std::collections::BTreeSet;
use std::path::Path;

/// The page with the tables.
const RUNBOOK_PAGE: &str = "docs/runbook.md";
/// The heading of the table of log lines.
const LOG_LINES_HEADING: &str = "## Log lines";
/// The heading of the table of error texts.
const ERROR_TEXTS_HEADING: &str = "## Error texts in log lines";

fn planted_file(code: &str) -> SourceFile {
    SourceFile::new("planted", code)
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
fn the_runbook_has_each_log_line_of_the_proxy_and_no_other() {
    let runbook = read(Path::new(RUNBOOK_PAGE));

    let logged = log_lines_of(&source_files());
    let rows = table_rows(&runbook, LOG_LINES_HEADING);

    assert!(!logged.is_empty(), "no log line found below {SOURCE_ROOT}");
    assert_eq!(Differences::between(&logged, &rows), Differences::none());
}

#[test]
fn the_runbook_has_each_error_text_of_log_lines_and_no_other() {
    let runbook = read(Path::new(RUNBOOK_PAGE));
    let files = source_files();

    let texts = error_texts_of(&files);
    let rows = table_rows(&runbook, ERROR_TEXTS_HEADING);

    for module in MODULES_OF_LOGGED_ERRORS {
        assert!(texts.iter().any(|text| text.module == module), "no error text found in {module}");
    }
    assert_eq!(Differences::between(&texts, &rows), Differences::none());
}

#[test]
fn finds_a_logged_line_without_a_row() {
    let file = planted_file(
        "fn run() {\n    log!(\n        \"started on {}\", address);\n    log!(\"lost {count:>3}\");\n}",
    );

    let differences =
        Differences::between(&log_lines_of(&[file]), &table_rows(PLANTED_PAGE, LOG_LINES_HEADING));

    assert_eq!(differences.missing_in_the_runbook, [LoggedText::new("planted", "lost {}")]);
}

#[test]
fn finds_a_row_whose_line_is_not_logged() {
    let file = planted_file("fn run() {\n    log!(\"started on {address}\");\n    // log!(\"stopped\");\n}");

    let differences =
        Differences::between(&log_lines_of(&[file]), &table_rows(PLANTED_PAGE, LOG_LINES_HEADING));

    assert_eq!(differences.not_in_the_sources, [LoggedText::new("planted", "stopped")]);
}

#[test]
fn finds_a_row_whose_line_only_another_module_logs() {
    let file = SourceFile::new("elsewhere", "log!(\"stopped\");");

    let differences =
        Differences::between(&log_lines_of(&[file]), &table_rows(PLANTED_PAGE, LOG_LINES_HEADING));

    assert_eq!(differences.missing_in_the_runbook, [LoggedText::new("elsewhere", "stopped")]);
    assert!(differences.not_in_the_sources.contains(&LoggedText::new("planted", "stopped")));
}

#[test]
fn names_a_module_after_its_path_below_the_sources() {
    let file = module_of(Path::new("control/config/error.rs"));
    let folder = module_of(Path::new("control/discovery/mod.rs"));

    assert_eq!(file, "control::config::error");
    assert_eq!(folder, "control::discovery");
}

#[test]
fn ignores_unit_tests_comments_and_other_macros() {
    let file = planted_file(
        "/// Like `log!(\"a\")`.\nfn run() { catalog!(\"b\"); }\n#[cfg(test)]\nmod tests { fn test() { log!(\"c\") } }",
    );

    assert_eq!(log_lines_of(&[file]), BTreeSet::new());
}

#[test]
#[should_panic(expected = "not a literal")]
fn rejects_a_log_line_without_a_literal_format() {
    let file = planted_file("fn run() { log!(FORMAT, address); }");

    log_lines_of(&[file]);
}

#[test]
fn reads_error_texts_from_attributes_of_one_line_or_more() {
    let code = "enum E {\n #[error(transparent)]\n A(B),\n #[error(\"no {0}\")]\n C(D),\n #[error(\n \"e \\\"{}\\\"\"\n )]\n F }";

    let texts = planted_file(code).literals_after(ERROR_ATTRIBUTE);

    assert_eq!(texts, ["no {}", "e \"{}\""].map(|text| LoggedText::new("planted", text)).into());
}
