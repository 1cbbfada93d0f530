//! The tables of `docs/configuration.md`.

use std::fs;
use std::path::{Path, PathBuf};

/// Number of cells in a row of the page: name, type, range, default, in force, effect.
const CELLS_PER_ROW: usize = 6;
/// The types of keys whose value is a string.
pub(super) const TEXT_TYPES: [&str; 2] = ["text", "address"];
/// Suffix of a type that includes null.
pub(super) const OR_NULL: &str = " or null";

/// A row of the page.
#[derive(Debug)]
pub(super) struct Row {
    pub name: String,
    pub value_type: String,
    pub default: String,
    pub in_force: String,
}

impl Row {
    /// Returns whether the row describes an environment variable.
    pub fn is_variable(&self) -> bool {
        self.name.starts_with("RELAY_")
    }

    /// Returns whether the key accepts null.
    pub fn accepts_null(&self) -> bool {
        self.value_type.ends_with(OR_NULL)
    }

    /// Returns whether the file cannot be parsed without the key.
    pub fn is_required(&self) -> bool {
        self.default == "required" || self.default.starts_with("required in")
    }
}

/// Returns the path of a file in the repository.
pub(super) fn repository_path(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").join(path)
}

/// Returns the text of the page.
pub(super) fn read_page() -> String {
    fs::read_to_string(repository_path("docs/configuration.md")).unwrap()
}

/// Returns the rows of all tables whose first cell is a name in backquotes.
pub(super) fn parse_rows(page: &str) -> Vec<Row> {
    let rows = page.lines().filter(|line| line.starts_with("| `"));
    rows.map(|line| {
        let cells: Vec<_> = line.trim_matches('|').split('|').map(str::trim).collect();
        assert_eq!(cells.len(), CELLS_PER_ROW, "{line}");
        assert!(cells.iter().all(|cell| !cell.is_empty()), "an empty cell: {line}");
        Row {
            name: cells[0].trim_matches('`').to_string(),
            value_type: cells[1].to_string(),
            default: cells[3].trim_matches('`').to_string(),
            in_force: cells[4].to_string(),
        }
    })
    .collect()
}
