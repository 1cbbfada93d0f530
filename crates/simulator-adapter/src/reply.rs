//! The reply to a batch: the actions of each instance, below a line with the name of the instance.

use super::instances::InstanceIndex;
use crate::wire;
use balancer::Action;

/// The part of a reply that has been written.
#[derive(Default)]
pub(super) struct Reply {
    text: String,
    /// The instance that the last lines of the text belong to.
    instance: Option<InstanceIndex>,
}

impl Reply {
    /// Names the instance of the next lines, unless the last lines belong to the same instance.
    pub(super) fn set_instance(&mut self, index: InstanceIndex, name: &str) {
        if self.instance != Some(index) {
            self.push_line(&format!("BY {name}"));
            self.instance = Some(index);
        }
    }

    /// Adds an action of the instance that was named last.
    pub(super) fn push_action(&mut self, action: &Action) {
        wire::write_action(&mut self.text, action);
    }

    /// Adds the failure of the instance that was named last. The message must be a single line.
    pub(super) fn push_failure(&mut self, message: &str) {
        self.push_line(&format!("DIE {message}"));
    }

    /// Ends the reply to the batch with this number, and returns the text.
    pub(super) fn finish(mut self, sequence: u64) -> String {
        self.push_line(&format!("END {sequence}"));
        self.text
    }

    fn push_line(&mut self, line: &str) {
        self.text.push_str(line);
        self.text.push('\n');
    }
}
