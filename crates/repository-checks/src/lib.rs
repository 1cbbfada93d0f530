//! Checks that cover several crates, or files outside the crates. The checks are in `tests/`.

use std::path::{Path, PathBuf};

/// Returns the path of a file or folder that is named relative to the root of the repository.
#[must_use]
pub fn in_repository(path: impl AsRef<Path>) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").join(path)
}
