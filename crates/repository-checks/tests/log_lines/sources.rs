//! The log lines and error texts in the sources of the proxy.

use crate::common::files::{read, rust_files_below};
use crate::logged_text::LoggedText;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// The folder of the sources that are searched. The module of a file is its path below this folder.
pub const SOURCE_ROOT: &str = "crates/balancer-proxy/src";
/// The invocations whose first argument is the format of a log line.
const LOG_INVOCATIONS: [&str; 2] = ["log!(", "log_line(format_args!("];
/// The attribute whose first argument is the text of an error.
pub const ERROR_ATTRIBUTE: &str = "#[error(";
/// The modules whose errors are contained in log lines.
pub const MODULES_OF_LOGGED_ERRORS: [&str; 4] =
    ["control::config::error", "control::discovery::client", "process::error", "settings"];

/// A source file.
pub struct SourceFile {
    /// The module of the file.
    pub module: String,
    /// The text without whole-line comments and unit tests.
    pub code: String,
}

impl SourceFile {
    /// Creates a file from its module and its text.
    pub fn new(module: &str, text: &str) -> Self {
        Self { module: module.to_string(), code: code_of(text) }
    }

    /// Returns the string literals that directly follow `opening`, as formats or texts.
    ///
    /// # Panics
    /// Panics if the format of a log line is not a literal, because such a line cannot be compared with the
    /// rows of the runbook.
    pub fn literals_after(&self, opening: &str) -> BTreeSet<LoggedText> {
        let mut literals = BTreeSet::new();
        for (position, _) in self.code.match_indices(opening) {
            let is_part_of_a_name = self.code[..position].ends_with(is_name_character);
            if is_part_of_a_name {
                continue;
            }
            let argument = self.code[position + opening.len()..].trim_start();
            if let Some(literal) = argument.strip_prefix('"') {
                literals.insert(LoggedText::new(&self.module, &literal_content(literal)));
            } else {
                let is_log_line = LOG_INVOCATIONS.contains(&opening);
                assert!(
                    !is_log_line,
                    "the format of a log line in {} is not a literal: {argument}",
                    self.module
                );
            }
        }
        literals
    }
}

fn is_name_character(character: char) -> bool {
    character.is_alphanumeric() || character == '_'
}

/// Returns the module of a file, such as `control` for the path `control/mod.rs`.
pub fn module_of(path: &Path) -> String {
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

/// Returns the content of a string literal from the text that follows the opening quotation mark.
fn literal_content(literal: &str) -> String {
    let mut content = String::new();
    let mut characters = literal.chars();
    loop {
        match characters.next().expect("the string literal should end with a quotation mark") {
            '"' => return content,
            '\\' => content.push(characters.next().expect("a character should follow the backslash")),
            character => content.push(character),
        }
    }
}

/// Returns all source files of the proxy.
pub fn source_files() -> Vec<SourceFile> {
    let root = Path::new(SOURCE_ROOT);
    let source_file =
        |path: &PathBuf| SourceFile::new(&module_of(path.strip_prefix(root).unwrap()), &read(path));
    rust_files_below(root).iter().map(source_file).collect()
}

/// Returns the log lines of these files.
pub fn log_lines_of(files: &[SourceFile]) -> BTreeSet<LoggedText> {
    let log_lines_of_file = |file: &SourceFile| {
        LOG_INVOCATIONS.map(|invocation| file.literals_after(invocation)).into_iter().flatten()
    };
    files.iter().flat_map(log_lines_of_file).collect()
}

/// Returns the error texts of the modules whose errors are contained in log lines.
pub fn error_texts_of(files: &[SourceFile]) -> BTreeSet<LoggedText> {
    let logged = files.iter().filter(|file| MODULES_OF_LOGGED_ERRORS.contains(&file.module.as_str()));
    logged.flat_map(|file| file.literals_after(ERROR_ATTRIBUTE)).collect()
}
