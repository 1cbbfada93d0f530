//! The reply to a batch: the actions of each instance below its name.

use super::instances::InstanceIndex;
use crate::wire;
use balancer::Action;

/// The reply to a batch.
#[derive(Default)]
pub(super) struct Reply {
    text: String,
    /// The instance that the last lines are from.
    instance: Option<InstanceIndex>,
}

impl Reply {
    /// Names the instance that the next lines are from, unless the last ones are from it too.
    pub(super) fn set_instance(&mut self, index: InstanceIndex, name: &str) {
        if self.instance != Some(index) {
            self.push_line(&format!("BY {name}"));
            self.instance = Some(index);
        }
    }

    pub(super) fn push_action(&mut self, action: &Action) {
        wire::write_action(&mut self.text, action);
    }

    /// Adds the failure of an instance that panicked, with a message on one line.
    pub(super) fn push_failure(&mut self, message: &str) {
        self.push_line(&format!("DIE {message}"));
    }

    /// Ends the reply to the batch with this number, and returns its text.
    pub(super) fn finish(mut self, sequence: u64) -> String {
        self.push_line(&format!("END {sequence}"));
        self.text
    }

    fn push_line(&mut self, line: &str) {
        self.text.push_str(line);
        self.text.push('\n');
    }
}
