//! The occasions on which the configuration is loaded.

/// The occasion on which the configuration is loaded. Precedence and checks depend on the occasion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMode {
    /// At startup. The environment has precedence over the file.
    Startup,
    /// While requests are served. The file has precedence for the address of discovery, the size of the file
    /// is bounded, and some values that startup accepts are rejected.
    Reload,
}
