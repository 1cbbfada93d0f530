//! Access to the configuration file: its identity on disk, its text, and JSON errors that name the
//! field.

use super::environment;
use super::error::ConfigError;
use super::load_mode::LoadMode;
use serde::de::DeserializeOwned;
use std::fs::{self, File};
use std::io::{self, Read};
use std::os::unix::fs::MetadataExt;

/// Largest configuration file that a reload reads, as it does so while requests wait.
const MAX_RELOADED_FILE_BYTES: u64 = 16 << 20;

/// What serde reports, as a path, for an error outside any field, and how it is shown instead.
const SERDE_ROOT_PATH: &str = ".";
const WHOLE_DOCUMENT: &str = "the whole";

/// Identity of a file at a path. It changes if another file is moved there, or if this one is
/// written to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FileStamp {
    inode: u64,
    size_bytes: u64,
    modified_seconds: i64,
    modified_nanoseconds: i64,
}

impl FileStamp {
    /// The stamp of the configuration file that is there now; `None` if there is none.
    #[must_use]
    pub fn of_config_file() -> Option<Self> {
        let path = environment::config_path().ok()?;
        let metadata = fs::metadata(path).ok()?;
        Some(Self {
            inode: metadata.ino(),
            size_bytes: metadata.size(),
            modified_seconds: metadata.mtime(),
            modified_nanoseconds: metadata.mtime_nsec(),
        })
    }
}

/// Reads the text of the file.
pub(super) fn read_text(path: &str, mode: LoadMode) -> Result<String, ConfigError> {
    match mode {
        LoadMode::Startup => fs::read_to_string(path).map_err(|error| unreadable(path, error)),
        LoadMode::Reload => read_without_blocking(path),
    }
}

/// Reads a file while requests wait: only a regular one, as others may block their reader for any
/// time, and of a bounded size.
fn read_without_blocking(path: &str) -> Result<String, ConfigError> {
    let metadata = fs::metadata(path).map_err(|error| unreadable(path, error))?;
    if !metadata.is_file() {
        return Err(ConfigError::invalid_value(path, "a plain file", "something else"));
    }

    let file = File::open(path).map_err(|error| unreadable(path, error))?;
    let mut text = String::new();
    let length = file
        .take(MAX_RELOADED_FILE_BYTES + 1)
        .read_to_string(&mut text)
        .map_err(|error| unreadable(path, error))?;
    if length as u64 > MAX_RELOADED_FILE_BYTES {
        let expected = format!("at most {MAX_RELOADED_FILE_BYTES} bytes");
        return Err(ConfigError::invalid_value(path, expected, "more"));
    }
    Ok(text)
}

fn unreadable(path: &str, source: io::Error) -> ConfigError {
    ConfigError::UnreadableFile { path: path.to_string(), source }
}

/// Parses the text of the file at `path`.
pub(super) fn parse_json<T: DeserializeOwned>(path: &str, text: &str) -> Result<T, ConfigError> {
    // Keeping track of the field is slower, so that it is done only once the text is known to be bad.
    serde_json::from_str(text).or_else(|_| parse_json_tracking_fields(path, text))
}

fn parse_json_tracking_fields<T: DeserializeOwned>(path: &str, text: &str) -> Result<T, ConfigError> {
    let invalid = |field: &str, source| ConfigError::InvalidJson {
        path: path.to_string(),
        field: if field == SERDE_ROOT_PATH { WHOLE_DOCUMENT } else { field }.to_string(),
        source,
    };
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let parsed = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|error| invalid(&error.path().to_string(), error.into_inner()))?;
    deserializer.end().map_err(|error| invalid(SERDE_ROOT_PATH, error))?;
    Ok(parsed)
}
