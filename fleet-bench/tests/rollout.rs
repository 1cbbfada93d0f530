//! A small roll-out of settings, whole, at real proxies.

mod common;

use common::{assert_nothing_left, fleet_bench, proxy_program, table};
use std::fs::Permissions;
use std::os::unix::fs::PermissionsExt;
use std::process::Command;

#[test]
fn settings_come_into_force_whatever_happens_on_the_way() {
    let folder = tempfile::tempdir().unwrap();
    let json = tempfile::NamedTempFile::new().unwrap();
    let small = ["control", "--settings-changes", "4", "--settings-proxies", "3", "--settings-pace", "4"];
    let output = fleet_bench(folder.path(), &small).arg("--json").arg(json.path()).output().unwrap();
    let said = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{said}{}", String::from_utf8_lossy(&output.stderr));
    let report = serde_json::from_slice(&std::fs::read(json.path()).unwrap()).unwrap();
    let rows = table(&report, "How soon changed settings");
    // Changes, files taken over at each proxy, files refused by all. Of those that follow soon, a
    // proxy takes at least the last one; one that starts with the file has not taken it over.
    let wanted = [
        (4, 4.0, 4.0, 0),
        (20, 1.0, 20.0, 0),
        (4, 1.0, 4.0, 0),
        (1, 1.0, 1.0, 3),
        (1, 1.0, 1.0, 3),
        (1, 1.0, 1.0, 0),
        (1, 2.0 / 3.0, 2.0 / 3.0, 0),
        (1, 2.0 / 3.0, 2.0 / 3.0, 0),
        (1, 1.0, 1.0, 0),
    ];
    assert_eq!(rows.len(), wanted.len(), "{said}");
    for (row, (changes, least, most, refused)) in rows.iter().zip(wanted) {
        let figure = |name: &str| row[name].as_f64().unwrap_or(f64::NAN);
        assert_eq!((figure("changes"), figure("proxies")), (f64::from(changes), 3.0), "{said}");
        assert_eq!(figure("refused"), f64::from(refused), "{said}");
        assert!((least..=most).contains(&figure("taken over, each")), "{said}");
        if row["roll-out"] == "20 a second, not asked" {
            assert!(figure("processor, ms a change").is_finite(), "{said}");
        } else {
            assert!(figure("50%, ms") > 0.02 && figure("50%, ms") <= figure("all, ms"), "{said}");
            assert!(figure("of 14 s") <= 1.0, "{said}");
        }
    }
    assert_nothing_left(folder.path());
}

#[test]
fn a_proxy_that_keeps_its_old_settings_fails_the_run() {
    let folder = tempfile::tempdir().unwrap();
    let deaf = folder.path().join("deaf");
    // The real proxy, but its file is one that nobody replaces.
    let script = format!(
        "#!/bin/sh\ncp \"$RELAY_CONFIG\" \"$TMPDIR/first\"\nRELAY_CONFIG=\"$TMPDIR/first\" exec '{}'\n",
        proxy_program().display()
    );
    std::fs::write(&deaf, script).unwrap();
    std::fs::set_permissions(&deaf, Permissions::from_mode(0o755)).unwrap();
    let mut run = Command::new(env!("CARGO_BIN_EXE_fleet-bench"));
    run.args(["control", "--settings-changes", "1", "--settings-proxies", "2", "--program"]).arg(&deaf);
    let output = run.env("TMPDIR", folder.path()).output().unwrap();
    let said = String::from_utf8(output.stderr).unwrap();
    assert!(
        said.starts_with("fleet-bench: 2 of 2 proxies not at settings version 1 within 14 s; "),
        "{said}"
    );
    assert_eq!((said.lines().count(), output.status.code()), (1, Some(1)), "{said}");
    std::fs::remove_file(&deaf).unwrap();
    assert_nothing_left(folder.path());
}

#[test]
fn roll_outs_are_bounded() {
    let cases = [
        (["--settings-changes", "1001"], "settings-changes: expected 0 to 1000, got 1001"),
        (["--settings-proxies", "201"], "settings-proxies: expected 1 to 200, got 201"),
        (["--settings-pace", "0"], "settings-pace: expected 0.1 to 100, got 0"),
    ];
    for (arguments, wanted) in cases {
        let mut run = Command::new(env!("CARGO_BIN_EXE_fleet-bench"));
        let output = run.arg("control").args(arguments).output().unwrap();
        assert_eq!(String::from_utf8(output.stderr).unwrap(), format!("fleet-bench: {wanted}\n"));
        assert_eq!(output.status.code(), Some(1));
    }
}
