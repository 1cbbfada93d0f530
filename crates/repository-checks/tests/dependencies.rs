//! Checks that the decision module depends on no crate for I/O or data formats, and that the crates that
//! operators build depend on nothing that only the scale tests need.

mod common;

use common::manifest::{build_dependencies_of, dependencies_in, shared_dependencies};
use std::collections::BTreeSet;

/// The crates for I/O and data formats on which the decision module must not depend. A crate whose name
/// continues one of these names after `-` or `_`, such as `hyper-util`, is forbidden too.
const FORBIDDEN_IN_THE_DECISION_MODULE: [&str; 3] = ["tokio", "hyper", "serde"];
/// The crates that operators build.
const CRATES_BUILT_BY_OPERATORS: [&str; 5] =
    ["balancer", "balancer-settings", "balancer-proxy", "send-queue", "simulator-adapter"];

/// Returns the dependencies that are forbidden in the decision module.
fn forbidden_among(dependencies: &BTreeSet<String>) -> Vec<&String> {
    let is_forbidden = |name: &&String| {
        FORBIDDEN_IN_THE_DECISION_MODULE.iter().any(|forbidden| {
            let extension = name.strip_prefix(forbidden);
            extension.is_some_and(|extension| extension.is_empty() || extension.starts_with(['-', '_']))
        })
    };
    dependencies.iter().filter(is_forbidden).collect()
}

/// Returns the dependencies of the scale tests that the workspace does not declare for all of its members.
fn own_dependencies_of_the_scale_tests() -> BTreeSet<String> {
    let shared = shared_dependencies();
    build_dependencies_of("fleet-bench").difference(&shared).cloned().collect()
}

#[test]
fn the_decision_module_depends_on_neither_io_nor_formats() {
    let dependencies = build_dependencies_of("balancer");

    let forbidden = forbidden_among(&dependencies);

    assert!(dependencies.contains("rand"), "no dependencies read: {dependencies:?}");
    assert!(forbidden.is_empty(), "{forbidden:?}");
}

#[test]
fn the_crates_that_operators_build_depend_on_nothing_of_the_scale_tests() {
    let of_scale_tests = own_dependencies_of_the_scale_tests();
    assert!(of_scale_tests.contains("clap"), "no dependencies read: {of_scale_tests:?}");

    for crate_name in CRATES_BUILT_BY_OPERATORS {
        let dependencies = build_dependencies_of(crate_name);
        let forbidden: Vec<_> = dependencies.intersection(&of_scale_tests).collect();

        assert!(!dependencies.is_empty(), "{crate_name}: no dependencies read");
        assert!(forbidden.is_empty(), "{crate_name} depends on {forbidden:?}");
        assert!(!dependencies.contains("fleet-bench"), "{crate_name} depends on the scale tests");
    }
}

#[test]
fn finds_forbidden_dependencies_in_every_section_of_the_build() {
    let manifest = "\
[package]
name = \"planted\"
[dependencies]
rand.workspace = true
tokio = { version = \"1\", features = [
    \"net\",
] } # the runtime
[target.'cfg(unix)'.dependencies]
\"hyper-util\" = \"0.1\"
[build-dependencies]
serde_json = \"1\"
[dependencies.serde]
version = \"1\"
";

    let dependencies = dependencies_in(manifest);

    assert_eq!(forbidden_among(&dependencies), ["hyper-util", "serde", "serde_json", "tokio"]);
}

#[test]
fn reads_no_dependency_from_other_sections_and_similar_names() {
    let manifest = "\
[features]
serde = []
[dependencies]
serdes = \"1\"
[dev-dependencies]
tokio = \"1\"
";

    let dependencies = dependencies_in(manifest);

    assert_eq!(dependencies, ["serdes".to_string()].into());
    assert!(forbidden_among(&dependencies).is_empty());
}
