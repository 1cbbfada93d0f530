//! Experiment files: the arguments of a command, written down.

use crate::error::Error;
use serde::de::DeserializeOwned;
use std::path::Path;

/// Reads the plan of a command from a TOML file; without one it is the default. Names that the plan
/// does not know are an error: a misspelt one would silently measure something else.
pub fn read<P: DeserializeOwned + Default>(path: Option<&Path>) -> Result<P, Error> {
    let Some(path) = path else {
        return Ok(P::default());
    };
    let text =
        std::fs::read_to_string(path).map_err(|error| Error::File { path: path.to_path_buf(), error })?;
    toml::from_str(&text).map_err(|error| {
        // In one line, with the place: the library's own text spans several.
        let line = error.span().map_or(0, |span| 1 + text[..span.start].matches('\n').count());
        let message = format!("line {line}: {}", error.message().replace('\n', " "));
        Error::Experiment { path: path.to_path_buf(), message }
    })
}
