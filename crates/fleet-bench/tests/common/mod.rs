//! Runs commands that start real proxies, and reads their reports.

use serde_json::{Map, Value};
use std::path::{Path, PathBuf};
use std::process::Command;

/// Returns the path of the proxy's program. The program is built if absent, as Cargo does not build programs
/// of other packages for these tests.
pub fn proxy_program() -> PathBuf {
    let program = Path::new(env!("CARGO_BIN_EXE_fleet-bench")).with_file_name("balancer-proxy");
    if !program.is_file() {
        let directory = program.parent().unwrap();
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "--locked", "--bin", "balancer-proxy", "--manifest-path"]);
        build.arg(concat!(env!("CARGO_MANIFEST_DIR"), "/../../Cargo.toml"));
        build.arg("--target-dir").arg(directory.parent().unwrap());
        if directory.ends_with("release") {
            build.arg("--release");
        }
        assert!(build.status().unwrap().success());
    }
    program
}

/// Creates a command that starts proxies. The files of the proxies are below `directory`.
pub fn fleet_bench(directory: &Path, arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fleet-bench"));
    command.args(arguments).arg("--program").arg(proxy_program()).env("TMPDIR", directory);
    command
}

/// The report of a command in both forms.
pub struct JsonAndText {
    /// The report as JSON.
    pub report: Value,
    /// The report as text.
    pub text: String,
}

/// Runs a command that must succeed, and returns its report.
pub fn run_to_report(directory: &Path, arguments: &[&str]) -> JsonAndText {
    let json = tempfile::NamedTempFile::new().unwrap();
    let output = fleet_bench(directory, arguments).arg("--json").arg(json.path()).output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
    let report = serde_json::from_slice(&std::fs::read(json.path()).unwrap()).unwrap();
    JsonAndText { report, text }
}

/// Returns the rows of the first table whose name begins with `name`; each row maps column names to values.
pub fn table_rows(report: &Value, name: &str) -> Vec<Map<String, Value>> {
    let tables = report["tables"].as_array().unwrap();
    let table = tables.iter().find(|table| table["name"].as_str().unwrap().starts_with(name)).unwrap();
    let columns = table["columns"].as_array().unwrap();
    let by_column = |row: &Value| {
        let pairs = columns.iter().zip(row.as_array().unwrap());
        pairs.map(|(name, value)| (name.as_str().unwrap().to_string(), value.clone())).collect()
    };
    table["rows"].as_array().unwrap().iter().map(by_column).collect()
}

/// Returns the number of running processes whose files are below `directory`.
pub fn count_processes(directory: &Path) -> usize {
    let variable = format!("TMPDIR={}/", directory.display());
    let processes = std::fs::read_dir("/proc").unwrap().filter_map(Result::ok);
    let environments = processes.filter_map(|entry| std::fs::read(entry.path().join("environ")).ok());
    environments.filter(|text| String::from_utf8_lossy(text).contains(&variable)).count()
}

/// Asserts that no process uses `directory` and that the directory is empty.
pub fn assert_nothing_left(directory: &Path) {
    assert_eq!(count_processes(directory), 0, "processes are left");
    assert_eq!(std::fs::read_dir(directory).unwrap().count(), 0, "files are left");
}
