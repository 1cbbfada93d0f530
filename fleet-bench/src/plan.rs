//! Experiment files: the arguments of a command, written down.

use crate::error::Error;
use serde::de::DeserializeOwned;
use std::path::{Path, PathBuf};

/// Arguments of every command: where its plan comes from.
#[derive(clap::Args, Clone, Debug, Default)]
pub struct Source {
    /// Experiment file (TOML): the plan; arguments given beside it go before it
    #[arg(long, value_name = "FILE")]
    pub experiment: Option<PathBuf>,
    /// Seed of all random draws
    #[arg(long)]
    pub seed: Option<u64>,
}

impl Source {
    /// Reads the plan of a command from the experiment file; without one it is the default.
    pub fn read<P: DeserializeOwned + Default>(&self) -> Result<P, Error> {
        self.experiment.as_deref().map_or_else(|| Ok(P::default()), read)
    }
}

/// Names that the plan does not know are an error: a misspelt one would silently measure something
/// else.
fn read<P: DeserializeOwned>(path: &Path) -> Result<P, Error> {
    let text =
        std::fs::read_to_string(path).map_err(|error| Error::File { path: path.to_path_buf(), error })?;
    toml::from_str(&text).map_err(|error| {
        // In one line, with the place: the library's own text spans several.
        let line = error.span().map_or(0, |span| 1 + text[..span.start].matches('\n').count());
        let message = format!("line {line}: {}", error.message().replace('\n', " "));
        Error::Experiment { path: path.to_path_buf(), message }
    })
}
