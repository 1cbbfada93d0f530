//! Files and folders of a test process in Cargo's folder for temporary files.

use std::path::{Path, PathBuf};

/// Returns the path of the configuration file with this number.
pub fn configuration_path(number: usize) -> PathBuf {
    temporary_path(&format!("{}-{number}.json", std::process::id()))
}

/// Creates the empty folder with this number and returns its path.
pub fn empty_folder(number: usize) -> PathBuf {
    let folder = temporary_path(&format!("{}-{number}.d", std::process::id()));
    // An earlier test process with the same process id may have left the folder.
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn temporary_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}
