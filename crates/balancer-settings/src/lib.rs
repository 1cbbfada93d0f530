//! The settings of a balancer as operators write them, and their translation into
//! [`balancer::Settings`].
//!
//! Settings reach the program in two syntaxes: as a JSON object in the configuration file of the proxy,
//! and as `path=value` pairs on the wire of the simulator. Both syntaxes are read into [`RawSettings`],
//! whose fields have the names and units of the operators' pages. [`RawSettings::into_settings`] then
//! fills in the [`defaults`] and converts the result, so that equal settings mean the same in both.
//!
//! [`RawSettings`] implements [`serde::Deserialize`], which is the JSON syntax; the pairs are read by the
//! crate `simulator-adapter`. The differences between the two syntaxes are listed there, in the module
//! that reads the pairs.
//!
//! ```
//! use balancer::ZoneId;
//! use balancer_settings::RawSettings;
//!
//! let text = r#"{"classes": [{"name": "look", "effect": "free", "hard-limit": 2.0}]}"#;
//! let raw: RawSettings = serde_json::from_str(text)?;
//!
//! let zone = ZoneId(0);
//! let settings = raw.into_settings(zone)?;
//!
//! assert_eq!(settings.classes[0].max_timeout, 2.0);
//! assert_eq!(settings.max_attempts, balancer_settings::defaults::MAX_ATTEMPTS);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod defaults;
pub mod keys;
mod raw;
mod translation;

pub use self::raw::{
    RawCapabilities, RawClass, RawCosts, RawEffect, RawGroup, RawRegistryMode, RawRules, RawSettings,
    RawStats, RawTenant,
};
pub use self::translation::{InvalidQuantity, VALID_QUANTITY, is_valid_quantity};
