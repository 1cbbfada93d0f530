//! A state folder whose files two versions of the program share during an upgrade.

use std::collections::BTreeMap;
use std::fs::File;
use std::path::{Path, PathBuf};

/// A state folder that is removed with its files at the end of a test.
pub struct StateFolder(PathBuf);

impl StateFolder {
    /// Creates an empty folder for the test of this name.
    pub fn new(name: &str) -> Self {
        let path =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("stored-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path); // a killed test run may have left it
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    /// Returns the path with which the paths of all files of the address `127.0.0.1:7070` begin.
    pub fn base_path(&self) -> PathBuf {
        self.file_path("dewpier-127.0.0.1:7070")
    }

    /// Returns the path of the file of this name.
    pub fn file_path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    /// Returns the content of the file of this name.
    pub fn read(&self, name: &str) -> String {
        std::fs::read_to_string(self.file_path(name)).unwrap()
    }

    /// Returns the contents of all files by name.
    pub fn contents(&self) -> BTreeMap<String, String> {
        let entries = std::fs::read_dir(&self.0).unwrap();
        let names = entries.map(|entry| entry.unwrap().file_name().into_string().unwrap());
        names.map(|name| (name.clone(), self.read(&name))).collect()
    }

    /// Creates a file with this content and locks it, as a running process of the old version does.
    pub fn lock_as_old_version(&self, name: &str, content: &str) -> File {
        std::fs::write(self.file_path(name), content).unwrap();
        let file = File::options().read(true).write(true).open(self.file_path(name)).unwrap();
        file.try_lock().unwrap();
        file
    }
}

impl Drop for StateFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns the contents of these files by name, in the form that [`StateFolder::contents`] returns.
pub fn expected_contents<const N: usize>(files: [(&str, &str); N]) -> BTreeMap<String, String> {
    files.map(|(name, content)| (name.to_string(), content.to_string())).into()
}
