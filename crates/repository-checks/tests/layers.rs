//! No two files import one another, directly or through others, and each layer of the proxy imports only from
//! the layers below.

mod common;

use common::source_code::code_without_unit_tests;
use common::use_declarations::used_paths;
use repository_checks::in_repository;
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;

/// The path of a module below its crate, such as `proxy::engine::timers`.
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
        let known: BTreeSet<ModulePath> = files.iter().map(|file| file.module.clone()).collect();
        let mut imports = BTreeMap::new();
        for ModuleFile { module, code } in files {
            let imported = imports_of(&module, &code, &known);
            imports.insert(module, imported);
        }
        Self { imports }
    }

    /// Returns the modules of an import cycle, if there is one. The last module is the first one again.
    fn cycle(&self) -> Option<Vec<ModulePath>> {
        self.imports.keys().find_map(|start| self.import_path(start, start, &mut BTreeSet::new()))
    }

    /// Returns a chain of imports from one module to another, if there is one beyond the modules `seen`.
    fn import_path(
        &self,
        from: &ModulePath,
        to: &ModulePath,
        seen: &mut BTreeSet<ModulePath>,
    ) -> Option<Vec<ModulePath>> {
        for next in &self.imports[from] {
            if next == to {
                return Some(vec![from.clone(), to.clone()]);
            }
            if seen.insert(next.clone())
                && let Some(rest) = self.import_path(next, to, seen)
            {
                return Some([vec![from.clone()], rest].concat());
            }
        }
        None
    }
}

/// Returns the modules of the crate that a module imports by `use`. A folder's own module re-exports its files, so
/// that a path through it counts as an import of the file that is named, or of the folder's own module.
fn imports_of(module: &ModulePath, code: &str, known: &BTreeSet<ModulePath>) -> BTreeSet<ModulePath> {
    let mut imports = BTreeSet::new();
    for path in used_paths(code).into_iter().filter(|path| !path.is_re_export) {
        let absolute = absolute_path(module, &path.words);
        let mut named = (1..=absolute.len()).rev().map(|length| absolute[..length].to_vec());
        if let Some(import) = named.find(|path| known.contains(path))
            && import != *module
        {
            imports.insert(import);
        }
    }
    imports
}

/// Returns the path below the crate for a path that a module uses.
fn absolute_path(module: &ModulePath, words: &[String]) -> ModulePath {
    match words.first().map(String::as_str) {
        Some("crate") => words[1..].to_vec(),
        Some("self") => [module.as_slice(), &words[1..]].concat(),
        Some("super") => {
            let supers = words.iter().take_while(|word| *word == "super").count();
            let kept = module.len().saturating_sub(supers);
            [&module[..kept], &words[supers..]].concat()
        }
        _ => [module.as_slice(), words].concat(),
    }
}

fn sources_of(name: &str) -> std::path::PathBuf {
    in_repository("crates").join(name).join("src")
}

fn words(path: &str) -> ModulePath {
    path.split("::").map(str::to_string).collect()
}

/// A crate, and the number of modules that a check of the crate must at least find.
struct CrateSize {
    name: &'static str,
    least_modules: usize,
}

#[test]
fn no_file_imports_itself_through_others() {
    let crates = [
        CrateSize { name: "balancer", least_modules: 30 },
        CrateSize { name: "balancer-settings", least_modules: 4 },
        CrateSize { name: "balancer-proxy", least_modules: 50 },
        CrateSize { name: "simulator-adapter", least_modules: 10 },
        CrateSize { name: "fleet-bench", least_modules: 50 },
    ];
    for CrateSize { name, least_modules } in crates {
        let modules = Crate::read(&sources_of(name));

        assert!(modules.imports.len() > least_modules, "{name}: {} modules", modules.imports.len());
        assert_eq!(modules.cycle(), None, "{name}");
    }
}

/// A layer of a crate.
struct Layer {
    /// The path of the module, or of the folder, that makes up the layer.
    name: &'static str,
    /// The layers above.
    above: &'static [&'static str],
}

/// Asserts that no module of a layer imports a module of the layers above it.
fn assert_layers(modules: &Crate, layers: &[Layer]) {
    for Layer { name, above } in layers {
        let is_in_layer = |(module, _): &(&ModulePath, _)| module.starts_with(&words(name));
        let files: Vec<_> = modules.imports.iter().filter(is_in_layer).collect();
        assert!(!files.is_empty(), "the layer {name} has no module");
        for (module, imports) in files {
            let breach =
                imports.iter().find(|import| above.iter().any(|above| import.starts_with(&words(above))));
            assert_eq!(breach, None, "imported by {module:?}");
        }
    }
}

#[test]
fn the_layers_of_the_proxy_import_only_what_lies_below_them() {
    let proxy = Crate::read(&sources_of("balancer-proxy"));

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
    let balancer = Crate::read(&sources_of("balancer"));
    let interface = balancer.imports.iter().filter(|(module, _)| module.starts_with(&words("interface")));

    let is_outside = |import: &&ModulePath| !import.starts_with(&words("interface"));
    let imports: Vec<_> = interface.clone().flat_map(|(_, imports)| imports).filter(is_outside).collect();

    assert!(interface.count() > 4, "modules of the interface are missing");
    assert!(imports.is_empty(), "{imports:?}");
}

#[test]
fn the_data_structures_of_the_decision_module_import_no_decision() {
    let balancer = Crate::read(&sources_of("balancer"));

    assert_layers(&balancer, &[Layer { name: "support", above: &["decisions"] }]);
}

#[test]
fn finds_a_planted_import_of_a_layer_above() {
    let known = ["above", "below"].map(words).into();
    let module = words("below");
    let imports = imports_of(&module, "use crate::above::A;", &known);
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
    let known = ["a", "b", "c"].map(words).into();
    let codes =
        [("a", "use crate::b::B;"), ("b", "use super::c::{self, C};"), ("c", "use crate::{a::A, b};")];
    let imports = codes.map(|(module, code)| (words(module), imports_of(&words(module), code, &known)));
    let planted = Crate { imports: imports.into() };

    let cycle = planted.cycle();

    assert_eq!(cycle, Some(["a", "b", "c", "a"].map(words).to_vec()));
}
