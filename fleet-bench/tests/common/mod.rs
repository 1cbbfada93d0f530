//! What tests of commands that start the real proxy share.

use serde_json::{Map, Value};
use std::path::{Path, PathBuf};
use std::process::Command;

/// The proxy's program beside this package's own, built if it is absent: that of another package is
/// not built for these tests by itself.
pub fn proxy_program() -> PathBuf {
    let program = Path::new(env!("CARGO_BIN_EXE_fleet-bench")).with_file_name("balancer-proxy");
    if !program.is_file() {
        let folder = program.parent().unwrap();
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "--locked", "--bin", "balancer-proxy", "--manifest-path"]);
        build.arg(concat!(env!("CARGO_MANIFEST_DIR"), "/../Cargo.toml"));
        build.arg("--target-dir").arg(folder.parent().unwrap());
        if folder.ends_with("release") {
            build.arg("--release");
        }
        assert!(build.status().unwrap().success());
    }
    program
}

/// A command that starts proxies, whose folders are to be in this one.
pub fn fleet_bench(folder: &Path, arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fleet-bench"));
    command.args(arguments).arg("--program").arg(proxy_program()).env("TMPDIR", folder);
    command
}

/// The rows of a report's table, by the names of their columns.
pub fn table(report: &Value, name: &str) -> Vec<Map<String, Value>> {
    let tables = report["tables"].as_array().unwrap();
    let table = tables.iter().find(|t| t["name"].as_str().unwrap().starts_with(name)).unwrap();
    let columns = table["columns"].as_array().unwrap();
    let named = |row: &Value| {
        let pairs = columns.iter().zip(row.as_array().unwrap());
        pairs.map(|(name, value)| (name.as_str().unwrap().to_string(), value.clone())).collect()
    };
    table["rows"].as_array().unwrap().iter().map(named).collect()
}

/// Processes that were told to keep their files below this folder, and are there still.
pub fn processes_of(folder: &Path) -> usize {
    let own = format!("TMPDIR={}/", folder.display());
    let all = std::fs::read_dir("/proc").unwrap().filter_map(Result::ok);
    let environments = all.filter_map(|entry| std::fs::read(entry.path().join("environ")).ok());
    environments.filter(|text| String::from_utf8_lossy(text).contains(&own)).count()
}

/// Nothing that it started is left, neither processes nor files.
pub fn assert_nothing_left(folder: &Path) {
    assert_eq!(processes_of(folder), 0, "processes are left");
    assert_eq!(std::fs::read_dir(folder).unwrap().count(), 0, "files are left");
}
