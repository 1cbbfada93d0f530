//! What a command has measured: tables for people, and the same as JSON for programs.

use crate::error::Error;
use comfy_table::{CellAlignment, Table as Printed, presets};
use serde::{Deserialize, Serialize};
use std::fmt::{self, Display, Formatter};
use std::path::Path;
use std::process::Command;

/// A value of a table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Value {
    /// A figure, in the unit of its column.
    Number(f64),
    /// A word.
    Text(String),
    /// Not measured.
    Absent,
}

impl From<f64> for Value {
    fn from(value: f64) -> Self {
        if value.is_finite() { Self::Number(value) } else { Self::Absent }
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
                // Four significant digits, never in exponents.
                let digits = (3 - n.abs().log10().floor() as i64).clamp(0, 9) as usize;
                write!(f, "{n:.digits$}")
            }
        }
    }
}

/// Rows of figures under columns whose names hold their units, as in `"call, us"`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// What it shows.
    pub name: String,
    /// The columns.
    pub columns: Vec<String>,
    /// The rows, each as long as there are columns.
    pub rows: Vec<Vec<Value>>,
}

impl Table {
    /// An empty one.
    pub fn new(name: &str, columns: &[&str]) -> Self {
        let columns = columns.iter().map(|c| c.to_string()).collect();
        Self { name: name.to_string(), columns, rows: Vec::new() }
    }

    /// Adds a row.
    pub fn row(&mut self, row: impl IntoIterator<Item = Value>) {
        self.rows.push(row.into_iter().collect());
    }
}

/// What one run of a command has measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The command.
    pub command: String,
    /// The commit of the tree that it ran in, with `-dirty` where that had changes; empty where
    /// git does not tell.
    pub commit: String,
    /// What all random draws come from.
    pub seed: u64,
    /// The plan that was run, whole.
    pub arguments: serde_json::Value,
    /// The figures.
    pub tables: Vec<Table>,
    /// What has to be known to read them: what was not measured, and when the machine was too busy.
    pub notes: Vec<String>,
}

impl Report {
    /// An empty one, of a command that runs this plan.
    pub fn new(command: &str, seed: u64, plan: &impl Serialize) -> Result<Self, Error> {
        let arguments = serde_json::to_value(plan).map_err(|e| Error::Failed(format!("plan: {e}")))?;
        let (command, commit) = (command.to_string(), commit());
        Ok(Self { command, commit, seed, arguments, tables: Vec::new(), notes: Vec::new() })
    }

    /// Writes it as JSON.
    pub fn write(&self, path: &Path) -> Result<(), Error> {
        let text = serde_json::to_string_pretty(self).map_err(|e| Error::Failed(format!("report: {e}")))?;
        std::fs::write(path, text + "\n").map_err(|error| Error::File { path: path.to_path_buf(), error })
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} at {}, seed {}", self.command, self.commit, self.seed)?;
        for table in &self.tables {
            let mut printed = Printed::new();
            printed.load_preset(presets::NOTHING).set_header(&table.columns);
            for row in &table.rows {
                printed.add_row(row.iter().map(Value::to_string));
            }
            let numeric =
                |i: usize| table.rows.iter().any(|row| matches!(row.get(i), Some(Value::Number(_))));
            for (i, column) in printed.column_iter_mut().enumerate().filter(|(i, _)| numeric(*i)) {
                debug_assert!(i < table.columns.len());
                column.set_cell_alignment(CellAlignment::Right);
            }
            writeln!(f, "\n{}\n{printed}", table.name)?;
        }
        self.notes.iter().try_for_each(|note| write!(f, "\n{note}"))
    }
}

fn commit() -> String {
    let git = |arguments: &[&str]| {
        let output = Command::new("git").args(arguments).output().ok()?;
        output.status.success().then(|| String::from_utf8_lossy(&output.stdout).trim().to_string())
    };
    let dirty = git(&["status", "--porcelain", "--untracked-files=no"]).is_some_and(|s| !s.is_empty());
    let head = git(&["rev-parse", "--short=12", "HEAD"]).unwrap_or_default();
    if dirty && !head.is_empty() { head + "-dirty" } else { head }
}
