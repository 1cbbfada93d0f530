//! Configurations whose settings have a version, their reload, and the metrics of reloads.

use serde_json::{Value, json};

use super::configuration::{configuration_with_management, default_settings, serving_list};
use super::proxy_process::ProxyProcess;
use super::stub_server::{StubServer, silent_discovery};
use super::waiting::wait_for;

/// Returns a configuration with a management address and this version of its settings.
pub fn versioned_configuration(version: u64, backends: &[&StubServer]) -> Value {
    let mut configuration = configuration_with_management(&default_settings(), &serving_list(backends));
    configuration["settings"]["version"] = json!(version);
    configuration
}

/// Starts a proxy with this configuration and a silent discovery.
pub fn start_proxy(configuration: &Value) -> ProxyProcess {
    ProxyProcess::with_configuration(configuration, silent_discovery().address)
}

/// Returns the metrics of the settings: the version in force, and the numbers of applied and rejected files.
pub fn settings_metrics(proxy: &ProxyProcess) -> Vec<Option<u64>> {
    let stats = proxy.stats();
    ["version", "changed", "refused"].map(|name| stats["settings"][name].as_u64()).to_vec()
}

/// Replaces the configuration file, sends SIGHUP and waits until the file has been applied or rejected.
pub fn reload_configuration(proxy: &ProxyProcess, configuration: &Value) {
    let before = settings_metrics(proxy);
    proxy.replace_configuration(configuration);
    proxy.signal("-HUP");
    wait_for("a change of the settings metrics", || settings_metrics(proxy) != before);
}
