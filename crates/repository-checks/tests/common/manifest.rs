//! The dependencies that a `Cargo.toml` declares.

use super::files;
use std::collections::BTreeSet;
use std::path::Path;

/// Returns the names of the dependencies of a crate, without its dev-dependencies.
pub fn build_dependencies_of(crate_name: &str) -> BTreeSet<String> {
    let path = Path::new("crates").join(crate_name).join("Cargo.toml");
    dependencies_in(&files::read(&path))
}

/// Returns the names of the dependencies that the workspace declares for its members.
pub fn shared_dependencies() -> BTreeSet<String> {
    let manifest = files::read(Path::new("Cargo.toml"));
    keys_below(&manifest, |section| section == "workspace.dependencies")
}

/// Returns the names in the sections `dependencies` and `build-dependencies` of a manifest, including the
/// sections for a single platform.
pub fn dependencies_in(manifest: &str) -> BTreeSet<String> {
    keys_below(manifest, |section| {
        let kind = section.rsplit('.').next().unwrap_or_default();
        kind == "dependencies" || kind == "build-dependencies"
    })
}

/// Returns the keys of the selected sections, and the names of their subsections, such as `serde` for
/// `[dependencies.serde]`.
fn keys_below(manifest: &str, is_selected: impl Fn(&str) -> bool) -> BTreeSet<String> {
    let mut keys = BTreeSet::new();
    let mut is_inside = false;
    for line in manifest.lines() {
        let line = line.split('#').next().unwrap_or_default().trim();
        if let Some(heading) = line.strip_prefix('[') {
            let section = heading.trim_end_matches(']');
            is_inside = is_selected(section);
            if let Some((parent, name)) = section.rsplit_once('.')
                && is_selected(parent)
            {
                keys.insert(name.trim_matches('"').to_string());
            }
        } else if is_inside && starts_with_a_key(line) {
            let key = line.split(['=', '.']).next().unwrap_or_default();
            keys.insert(key.trim().trim_matches('"').to_string());
        }
    }
    keys
}

/// Returns whether a line begins an entry. Any other line continues the value of the previous entry.
fn starts_with_a_key(line: &str) -> bool {
    let is_key_character =
        |character: char| character.is_alphanumeric() || "-_\".".contains(character) || character == ' ';
    line.split_once('=').is_some_and(|(key, _)| key.chars().all(is_key_character))
}
