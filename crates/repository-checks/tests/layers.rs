//! Checks that the modules of a crate have no import cycle, and that no layer imports a layer above it.

mod common;

use common::source_code::code_without_unit_tests;
use common::use_declarations::used_paths;
use repository_checks::in_repository;
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;

/// The path of a module in its crate, such as `engine::timers`.
type ModulePath = Vec<String>;

/// A file of a crate.
struct ModuleFile {
    module: ModulePath,
    /// The text without comments and unit tests.
    code: String,
}

/// The modules of a crate.
struct Crate {
    /// The modules of the crate that each module imports.
    imports: BTreeMap<ModulePath, BTreeSet<ModulePath>>,
}

/// Returns all module files below a folder.
fn module_files(folder: &Path, prefix: &[String]) -> Vec<ModuleFile> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_stem().unwrap().to_str().unwrap().to_string();
        let module = [prefix, std::slice::from_ref(&name)].concat();
        if path.is_dir() && name != "bin" && name != "tests" {
            files.extend(module_files(&path, &module));
        } else if path.extension().is_some_and(|extension| extension == "rs")
            && name != "main"
            && name != "tests"
        {
            let module = if name == "mod" || name == "lib" { prefix.to_vec() } else { module };
            let text = fs::read_to_string(&path).unwrap();
            files.push(ModuleFile { module, code: code_without_unit_tests(&text) });
        }
    }
    files
}

impl Crate {
    fn read(source: &Path) -> Self {
        let files = module_files(source, &[]);
        let crate_modules: BTreeSet<ModulePath> = files.iter().map(|file| file.module.clone()).collect();
        let mut imports = BTreeMap::new();
        for ModuleFile { module, code } in files {
            let imported = imports_of(&module, &code, &crate_modules);
            imports.insert(module, imported);
        }
        Self { imports }
    }

    /// Returns the modules along an import cycle, or `None` if there is none. The cycle begins and ends with
    /// the same module.
    fn cycle(&self) -> Option<Vec<ModulePath>> {
        self.imports.keys().find_map(|start| self.import_path(start, start, &mut BTreeSet::new()))
    }

    /// Returns a chain of imports from one module to another, or `None` if there is none. The search skips
    /// the modules in `visited`, and adds each module that it visits.
    fn import_path(
        &self,
        from: &ModulePath,
        to: &ModulePath,
        visited: &mut BTreeSet<ModulePath>,
    ) -> Option<Vec<ModulePath>> {
        for next in &self.imports[from] {
            if next == to {
                return Some(vec![from.clone(), to.clone()]);
            }
            if visited.insert(next.clone())
                && let Some(rest) = self.import_path(next, to, visited)
            {
                return Some([vec![from.clone()], rest].concat());
            }
        }
        None
    }
}

/// Returns the modules of the crate that a module imports by `use`. Re-exports do not count. A `mod.rs`
/// re-exports items of the files in its folder. A path that names a file counts as an import of that file,
/// and any other path into the folder as an import of its `mod.rs`.
fn imports_of(module: &ModulePath, code: &str, crate_modules: &BTreeSet<ModulePath>) -> BTreeSet<ModulePath> {
    let mut imports = BTreeSet::new();
    for path in used_paths(code).into_iter().filter(|path| !path.is_re_export) {
        let absolute = absolute_path(module, &path.segments);
        let mut prefixes = (1..=absolute.len()).rev().map(|length| absolute[..length].to_vec());
        if let Some(import) = prefixes.find(|path| crate_modules.contains(path))
            && import != *module
        {
            imports.insert(import);
        }
    }
    imports
}

/// Returns the path from the root of the crate for a path in a `use` declaration of a module.
fn absolute_path(module: &ModulePath, segments: &[String]) -> ModulePath {
    match segments.first().map(String::as_str) {
        Some("crate") => segments[1..].to_vec(),
        Some("self") => [module.as_slice(), &segments[1..]].concat(),
        Some("super") => {
            let supers = segments.iter().take_while(|segment| *segment == "super").count();
            let kept = module.len().saturating_sub(supers);
            [&module[..kept], &segments[supers..]].concat()
        }
        _ => [module.as_slice(), segments].concat(),
    }
}

fn source_folder(crate_name: &str) -> std::path::PathBuf {
    in_repository("crates").join(crate_name).join("src")
}

fn module_path(path: &str) -> ModulePath {
    path.split("::").map(str::to_string).collect()
}

/// A crate whose imports are checked.
struct CheckedCrate {
    name: &'static str,
    /// The number of modules that the check must exceed. A check that does not exceed it has not read all
    /// sources.
    module_count_floor: usize,
}

#[test]
fn no_crate_has_an_import_cycle() {
    let crates = [
        CheckedCrate { name: "balancer", module_count_floor: 30 },
        CheckedCrate { name: "balancer-settings", module_count_floor: 4 },
        CheckedCrate { name: "balancer-proxy", module_count_floor: 50 },
        CheckedCrate { name: "simulator-adapter", module_count_floor: 10 },
        CheckedCrate { name: "fleet-bench", module_count_floor: 50 },
    ];
    for CheckedCrate { name, module_count_floor } in crates {
        let modules = Crate::read(&source_folder(name));

        assert!(modules.imports.len() > module_count_floor, "{name}: {} modules", modules.imports.len());
        assert_eq!(modules.cycle(), None, "{name}");
    }
}

/// A layer of a crate.
struct Layer {
    /// The path of the module or folder that forms the layer.
    name: &'static str,
    /// The paths of the layers above this layer.
    above: &'static [&'static str],
}

/// Asserts that no module of a layer imports a module of the layers above it.
fn assert_layers(modules: &Crate, layers: &[Layer]) {
    for Layer { name, above } in layers {
        let is_in_layer = |(module, _): &(&ModulePath, _)| module.starts_with(&module_path(name));
        let files: Vec<_> = modules.imports.iter().filter(is_in_layer).collect();
        assert!(!files.is_empty(), "the layer {name} has no module");
        for (module, imports) in files {
            let forbidden = imports
                .iter()
                .find(|import| above.iter().any(|above| import.starts_with(&module_path(above))));
            assert_eq!(forbidden, None, "{module:?} imports a layer above the layer {name}");
        }
    }
}

#[test]
fn no_layer_of_the_proxy_imports_a_layer_above() {
    let proxy = Crate::read(&source_folder("balancer-proxy"));

    assert_layers(
        &proxy,
        &[
            Layer { name: "upstream", above: &["engine", "downstream", "control"] },
            Layer { name: "engine", above: &["downstream"] },
            Layer { name: "control::config", above: &["engine", "downstream"] },
            Layer { name: "control::discovery", above: &["engine", "downstream"] },
            Layer { name: "control::endpoint_list", above: &["engine", "downstream"] },
            Layer { name: "control::instance_lock", above: &["engine", "downstream"] },
            Layer { name: "control::maintenance_store", above: &["engine", "downstream"] },
        ],
    );
}

#[test]
fn the_interface_of_the_decision_module_imports_nothing_else_of_the_crate() {
    let balancer = Crate::read(&source_folder("balancer"));
    let interface =
        balancer.imports.iter().filter(|(module, _)| module.starts_with(&module_path("interface")));

    let is_outside = |import: &&ModulePath| !import.starts_with(&module_path("interface"));
    let imports: Vec<_> = interface.clone().flat_map(|(_, imports)| imports).filter(is_outside).collect();

    assert!(interface.count() > 4, "modules of the interface are missing");
    assert!(imports.is_empty(), "{imports:?}");
}

#[test]
fn the_data_structures_of_the_decision_module_import_no_decision() {
    let balancer = Crate::read(&source_folder("balancer"));

    assert_layers(&balancer, &[Layer { name: "support", above: &["decisions"] }]);
}

#[test]
fn finds_a_planted_import_of_a_layer_above() {
    let crate_modules = ["above", "below"].map(module_path).into();
    let module = module_path("below");
    let imports = imports_of(&module, "use crate::above::A;", &crate_modules);
    let planted = Crate { imports: [(module, imports)].into() };

    let check =
        std::panic::catch_unwind(|| assert_layers(&planted, &[Layer { name: "below", above: &["above"] }]));

    assert!(check.is_err());
}

#[test]
fn finds_a_layer_without_modules() {
    let without_modules = Crate { imports: BTreeMap::new() };

    let check =
        std::panic::catch_unwind(|| assert_layers(&without_modules, &[Layer { name: "moved", above: &[] }]));

    assert!(check.is_err());
}

#[test]
fn finds_a_planted_import_cycle() {
    let crate_modules = ["a", "b", "c"].map(module_path).into();
    let codes =
        [("a", "use crate::b::B;"), ("b", "use super::c::{self, C};"), ("c", "use crate::{a::A, b};")];
    let imports = codes
        .map(|(module, code)| (module_path(module), imports_of(&module_path(module), code, &crate_modules)));
    let planted = Crate { imports: imports.into() };

    let cycle = planted.cycle();

    assert_eq!(cycle, Some(["a", "b", "c", "a"].map(module_path).to_vec()));
}
