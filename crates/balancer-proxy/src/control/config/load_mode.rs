//! When the configuration is loaded, which decides how.

/// When the configuration is loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMode {
    /// At startup. The environment has precedence over the file.
    Startup,
    /// While requests are served. The file has precedence for the address of discovery, its size is
    /// bounded, and it is validated more strictly.
    Reload,
}
