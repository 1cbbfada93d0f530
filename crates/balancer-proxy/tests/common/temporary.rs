//! Files and folders of one test process, below cargo's folder for temporary files.

use std::path::{Path, PathBuf};

/// The path of a configuration file with this number.
pub fn configuration_path(number: usize) -> PathBuf {
    temporary_path(&format!("{}-{number}.json", std::process::id()))
}

/// Creates an empty folder with this number.
pub fn empty_folder(number: usize) -> PathBuf {
    let folder = temporary_path(&format!("{}-{number}.d", std::process::id()));
    // An earlier test process may have had the same process id.
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn temporary_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}
