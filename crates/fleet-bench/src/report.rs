//! The report of a command, which is printed as text and written as JSON.

use crate::error::Error;
use comfy_table::{CellAlignment, Table as FormattedTable, presets};
use serde::{Deserialize, Serialize};
use std::fmt::{self, Display, Formatter};
use std::path::Path;
use std::process::Command;

/// A cell of a table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Value {
    /// A number in the unit of its column.
    Number(f64),
    /// Text, for example the name of a phase.
    Text(String),
    /// A value that was not measured.
    Absent,
}

impl From<f64> for Value {
    fn from(value: f64) -> Self {
        if value.is_finite() { Self::Number(value) } else { Self::Absent }
    }
}

impl From<Option<f64>> for Value {
    fn from(value: Option<f64>) -> Self {
        value.map_or(Self::Absent, Self::from)
    }
}

impl From<usize> for Value {
    fn from(value: usize) -> Self {
        Self::Number(value as f64)
    }
}

impl From<&str> for Value {
    fn from(value: &str) -> Self {
        Self::Text(value.to_string())
    }
}

impl From<String> for Value {
    fn from(value: String) -> Self {
        Self::Text(value)
    }
}

impl Display for Value {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Absent => f.write_str("-"),
            Self::Text(text) => f.write_str(text),
            Self::Number(n) if n.fract() == 0.0 && n.abs() < 1e15 => write!(f, "{n:.0}"),
            Self::Number(n) => {
                // Four significant digits, without an exponent.
                let digits = (3 - n.abs().log10().floor() as i64).clamp(0, 9) as usize;
                write!(f, "{n:.digits$}")
            }
        }
    }
}

/// A table. The name of a column contains its unit, as in `"request, us"`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// Title of the table.
    pub name: String,
    /// The names of the columns.
    pub columns: Vec<String>,
    /// The rows, each with one value for each column.
    pub rows: Vec<Vec<Value>>,
}

impl Table {
    /// Creates an empty table.
    #[must_use]
    pub fn new(name: &str, columns: &[&str]) -> Self {
        let columns = columns.iter().map(ToString::to_string).collect();
        Self { name: name.to_string(), columns, rows: Vec::new() }
    }

    /// Adds a row, with one value for each column.
    pub fn add_row(&mut self, row: impl IntoIterator<Item = Value>) {
        self.rows.push(row.into_iter().collect());
    }

    /// Formats the table as text, with columns of numbers aligned to the right.
    fn formatted(&self) -> FormattedTable {
        let mut formatted = FormattedTable::new();
        formatted.load_preset(presets::NOTHING).set_header(&self.columns);
        for row in &self.rows {
            formatted.add_row(row.iter().map(Value::to_string));
        }
        for (index, column) in formatted.column_iter_mut().enumerate() {
            if self.is_numeric(index) {
                column.set_cell_alignment(CellAlignment::Right);
            }
        }
        formatted
    }

    fn is_numeric(&self, column: usize) -> bool {
        self.rows.iter().any(|row| matches!(row.get(column), Some(Value::Number(_))))
    }
}

/// The results of one run of a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the subcommand.
    pub command: String,
    /// Commit of the working tree in which the command ran, with `-dirty` if tracked files had changes; empty
    /// if git does not return a commit.
    pub commit: String,
    /// The seed of all random draws.
    pub seed: u64,
    /// The complete plan that was run.
    pub arguments: serde_json::Value,
    /// Tables with the results of the run.
    pub tables: Vec<Table>,
    /// Notes for the reader, for example on values that were not measured and on other load of the machine.
    pub notes: Vec<String>,
}

impl Report {
    /// Creates an empty report of a command that runs this plan.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Json`] if the plan cannot be serialized.
    pub fn new(command: &str, seed: u64, plan: &impl Serialize) -> Result<Self, Error> {
        let arguments = serde_json::to_value(plan).map_err(|error| Error::Json { what: "plan", error })?;
        Ok(Self {
            command: command.to_string(),
            commit: commit(),
            seed,
            arguments,
            tables: Vec::new(),
            notes: Vec::new(),
        })
    }

    /// Writes the report as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`Error::File`] if the file cannot be written.
    pub fn write(&self, path: &Path) -> Result<(), Error> {
        let text =
            serde_json::to_string_pretty(self).map_err(|error| Error::Json { what: "report", error })?;
        std::fs::write(path, text + "\n").map_err(|error| Error::File { path: path.to_path_buf(), error })
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} at {}, seed {}", self.command, self.commit, self.seed)?;
        for table in &self.tables {
            writeln!(f, "\n{}\n{}", table.name, table.formatted())?;
        }
        self.notes.iter().try_for_each(|note| write!(f, "\n{note}"))
    }
}

/// Returns the present commit, in the form of [`Report::commit`].
fn commit() -> String {
    let git = |arguments: &[&str]| {
        let output = Command::new("git").args(arguments).output().ok()?;
        output.status.success().then(|| String::from_utf8_lossy(&output.stdout).trim().to_string())
    };
    let changes = git(&["status", "--porcelain", "--untracked-files=no"]);
    let dirty = changes.is_some_and(|changes| !changes.is_empty());
    let head = git(&["rev-parse", "--short=12", "HEAD"]).unwrap_or_default();
    if dirty && !head.is_empty() { head + "-dirty" } else { head }
}
