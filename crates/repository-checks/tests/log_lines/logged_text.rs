//! A log line or an error text, and the differences between two sets of them.

use std::collections::BTreeSet;

/// A log line or an error text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoggedText {
    /// The module that logs the line, or declares the error.
    pub module: String,
    /// The text with each placeholder as `{}`.
    pub text: String,
}

impl LoggedText {
    /// Creates a log line or an error text from a format string. The names of its placeholders are removed.
    pub fn new(module: &str, text: &str) -> Self {
        Self { module: module.to_string(), text: without_placeholder_names(text) }
    }
}

/// The differences between the texts of the sources and the rows of the runbook.
#[derive(Debug, PartialEq, Eq)]
pub struct Differences {
    /// Texts of the sources without a row.
    pub missing_in_the_runbook: Vec<LoggedText>,
    /// Rows without a text in the sources.
    pub not_in_the_sources: Vec<LoggedText>,
}

impl Differences {
    /// Compares the texts of the sources with the rows of the runbook.
    pub fn between(sources: &BTreeSet<LoggedText>, runbook: &BTreeSet<LoggedText>) -> Self {
        Self {
            missing_in_the_runbook: sources.difference(runbook).cloned().collect(),
            not_in_the_sources: runbook.difference(sources).cloned().collect(),
        }
    }

    /// Returns the result of a comparison of equal sets.
    pub fn none() -> Self {
        Self { missing_in_the_runbook: Vec::new(), not_in_the_sources: Vec::new() }
    }
}

/// Returns the text with each placeholder, such as `{error}` or `{:016x}`, replaced by `{}`.
fn without_placeholder_names(text: &str) -> String {
    let mut parts = text.split('{');
    let mut plain = parts.next().unwrap_or_default().to_string();
    for part in parts {
        let (_, after) = part.split_once('}').expect("the placeholder should end with `}`");
        plain.push_str("{}");
        plain.push_str(after);
    }
    plain
}
