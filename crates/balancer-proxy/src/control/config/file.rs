//! Reads the configuration file: its identity on disk, its text and its JSON. Errors name the invalid key.

use super::environment;
use super::error::ConfigError;
use super::load_mode::LoadMode;
use serde::de::DeserializeOwned;
use std::fs::{self, File};
use std::io::{self, Read};
use std::os::unix::fs::MetadataExt;

/// Size in bytes of the largest configuration file that a reload reads. Requests wait during a reload, so a
/// file of unbounded size would delay them without bound.
const MAX_RELOADED_FILE_BYTES: u64 = 16 << 20;

/// The path that serde reports for an error outside any key.
const SERDE_ROOT_PATH: &str = ".";
/// The name of the document in error texts, in place of [`SERDE_ROOT_PATH`].
const WHOLE_DOCUMENT: &str = "the whole document";

/// Identity and state of the file at a path. Two stamps of a path differ if the file was replaced or written
/// to in between.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FileStamp {
    inode: u64,
    size_bytes: u64,
    modified_seconds: i64,
    modified_nanoseconds: i64,
}

impl FileStamp {
    /// Returns the current stamp of the configuration file, or `None` if the file does not exist.
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
///
/// # Errors
///
/// Returns [`ConfigError::UnreadableFile`] if the file cannot be read or is not UTF-8. A reload also returns
/// [`ConfigError::InvalidValue`] if the path is not a regular file, or the file is too large.
pub(super) fn read_text(path: &str, mode: LoadMode) -> Result<String, ConfigError> {
    match mode {
        LoadMode::Startup => fs::read_to_string(path).map_err(|error| unreadable_file(path, error)),
        LoadMode::Reload => read_without_blocking(path),
    }
}

/// Reads a file while requests wait. Only a regular file of at most [`MAX_RELOADED_FILE_BYTES`] is read, as a
/// pipe or a device may block its reader without bound.
fn read_without_blocking(path: &str) -> Result<String, ConfigError> {
    let metadata = fs::metadata(path).map_err(|error| unreadable_file(path, error))?;
    if !metadata.is_file() {
        return Err(ConfigError::invalid_value(path, "a regular file", "another file type"));
    }

    let file = File::open(path).map_err(|error| unreadable_file(path, error))?;
    let mut text = String::new();
    let length = file
        .take(MAX_RELOADED_FILE_BYTES + 1)
        .read_to_string(&mut text)
        .map_err(|error| unreadable_file(path, error))?;
    if length as u64 > MAX_RELOADED_FILE_BYTES {
        let expected = format!("at most {MAX_RELOADED_FILE_BYTES} bytes");
        return Err(ConfigError::invalid_value(path, expected, "more"));
    }
    Ok(text)
}

fn unreadable_file(path: &str, source: io::Error) -> ConfigError {
    ConfigError::UnreadableFile { path: path.to_string(), source }
}

/// Parses the text of the file at `path`.
///
/// # Errors
///
/// Returns [`ConfigError::InvalidJson`] with the path of the invalid key.
pub(super) fn parse_json<T: DeserializeOwned>(path: &str, text: &str) -> Result<T, ConfigError> {
    // Tracking the path of the key slows down parsing, so only an invalid text is parsed that way.
    serde_json::from_str(text).or_else(|_| parse_json_tracking_keys(path, text))
}

fn parse_json_tracking_keys<T: DeserializeOwned>(path: &str, text: &str) -> Result<T, ConfigError> {
    let invalid_json = |field: &str, source| ConfigError::InvalidJson {
        path: path.to_string(),
        field: if field == SERDE_ROOT_PATH { WHOLE_DOCUMENT } else { field }.to_string(),
        source,
    };
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let parsed = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|error| invalid_json(&error.path().to_string(), error.into_inner()))?;
    deserializer.end().map_err(|error| invalid_json(SERDE_ROOT_PATH, error))?;
    Ok(parsed)
}
