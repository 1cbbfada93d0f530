//! The tables of the runbook.

use crate::logged_text::LoggedText;
use std::collections::BTreeSet;

/// Returns the rows of the first table below a heading. The first cell of a row is the text, the second the
/// module, each in backquotes.
pub fn table_rows(page: &str, heading: &str) -> BTreeSet<LoggedText> {
    let after_heading = page.lines().skip_while(|line| *line != heading);
    let table = after_heading.skip_while(|line| !line.starts_with('|'));
    let rows = table.take_while(|line| line.starts_with('|'));
    let header_lines = 2;
    rows.skip(header_lines).map(row).collect()
}

fn row(line: &str) -> LoggedText {
    let mut cells = line.split(" | ");
    let text = code_in(cells.next().unwrap_or_default().trim_start_matches("| "));
    let module = code_in(cells.next().unwrap_or_default());
    LoggedText::new(module, text)
}

/// Returns the text between the backquotes of a cell.
fn code_in(cell: &str) -> &str {
    let code = cell.trim().strip_prefix('`').and_then(|cell| cell.strip_suffix('`'));
    code.unwrap_or_else(|| panic!("a cell of the runbook is not in backquotes: {cell}"))
}
