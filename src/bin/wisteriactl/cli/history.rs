//! The command lines of `wisteriactl revision` and `wisteriactl audit`.

use super::{Remote, WaitLimit, remote, wait_limit};
use bpaf::Bpaf;
use wisteriahead::core::document::Revision;

/// Default of `--limit`.
const AUDIT_LIMIT: u32 = 100;

/// Commands on revisions.
#[derive(Clone, Debug, Bpaf)]
pub enum RevisionCommand {
    /// Wait until a revision is in force at every host
    #[bpaf(command)]
    Wait {
        #[bpaf(external)]
        wait_limit: WaitLimit,
        #[bpaf(external)]
        remote: Remote,
        /// Revision to wait for
        #[bpaf(positional("REVISION"))]
        revision: Revision,
    },
}

/// Entries of the audit trail to show.
#[derive(Clone, Debug, Bpaf)]
pub struct Audit {
    /// Begin after the entry with this sequence number
    #[bpaf(long, env("WISTERIACTL_AFTER"), argument("NUMBER"), fallback(0), display_fallback)]
    pub after: u64,
    /// Show at most this many entries
    #[bpaf(
        long,
        env("WISTERIACTL_LIMIT"),
        argument("COUNT"),
        fallback(AUDIT_LIMIT),
        display_fallback
    )]
    pub limit: u32,
    /// Keep running, and show entries as they are written
    #[bpaf(long, switch)]
    pub follow: bool,
    #[bpaf(external)]
    /// Host to ask.
    pub remote: Remote,
}
