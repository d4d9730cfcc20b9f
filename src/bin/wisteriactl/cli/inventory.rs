//! The command line of `wisteriactl inventory`.

use super::{Change, Remote, change, remote};
use bpaf::Bpaf;
use std::path::PathBuf;
use wisteriahead::core::document::Revision;

/// Commands on the inventory.
#[derive(Clone, Debug, Bpaf)]
pub enum Inventory {
    /// Print the inventory in force
    #[bpaf(command)]
    Get {
        #[bpaf(external)]
        remote: Remote,
    },
    /// Write a copy of the inventory in force, wait until it is edited, and apply it
    #[bpaf(command)]
    Edit {
        #[bpaf(external)]
        change: Change,
        #[bpaf(external)]
        remote: Remote,
    },
    /// Validate a document without asking any host
    #[bpaf(command)]
    Check {
        /// Document to check
        #[bpaf(long, env("WISTERIACTL_FILE"), argument("FILE"))]
        file: PathBuf,
    },
    /// Compare a document with the inventory in force
    #[bpaf(command)]
    Diff {
        /// Document to compare
        #[bpaf(long, env("WISTERIACTL_FILE"), argument("FILE"))]
        file: PathBuf,
        #[bpaf(external)]
        remote: Remote,
    },
    /// Replace the inventory in force by a document
    #[bpaf(command)]
    Apply {
        /// Document to apply
        #[bpaf(long, env("WISTERIACTL_FILE"), argument("FILE"))]
        file: PathBuf,
        /// Revision that the document was edited from; the one in force now if not given
        #[bpaf(long, env("WISTERIACTL_BASE"), argument("REVISION"))]
        base: Option<Revision>,
        #[bpaf(external)]
        change: Change,
        #[bpaf(external)]
        remote: Remote,
    },
}
