//! The settings of a balancer as operators write them, and their translation into
//! [`balancer::Settings`].
//!
//! Settings have two syntaxes: a JSON object in the configuration file of the proxy, and `path=value` pairs
//! in the protocol of the simulator. Both syntaxes are parsed into [`RawSettings`], whose fields have the
//! names and units of the operators' pages. [`RawSettings::into_settings`] then sets absent settings to their
//! [`defaults`] and converts the result, so that equal settings have the same meaning in both syntaxes.
//!
//! [`RawSettings`] implements [`serde::Deserialize`] for the JSON syntax. The crate `simulator-adapter`
//! parses the pairs; its parser module lists the differences between the two syntaxes.
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
