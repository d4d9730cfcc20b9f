//! The command lines of `wisteriactl zone` and `wisteriactl voters`.

use super::{Change, Remote, change, remote};
use bpaf::Bpaf;

/// Commands on one availability zone.
#[derive(Clone, Debug, Bpaf)]
pub enum Zone {
    /// Send no new work to an availability zone
    #[bpaf(command)]
    Out {
        #[bpaf(external)]
        change: Change,
        #[bpaf(external)]
        remote: Remote,
        /// Name of the availability zone
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Let an availability zone take work again
    #[bpaf(command)]
    In {
        #[bpaf(external)]
        change: Change,
        #[bpaf(external)]
        remote: Remote,
        /// Name of the availability zone
        #[bpaf(positional("NAME"))]
        name: String,
    },
}

/// Commands on voters.
#[derive(Clone, Debug, Bpaf)]
pub enum Voters {
    /// List the hosts that vote
    #[bpaf(command)]
    List {
        #[bpaf(external)]
        remote: Remote,
    },
    /// Let a host vote once it has caught up
    #[bpaf(command)]
    Add {
        #[bpaf(external)]
        change: Change,
        #[bpaf(external)]
        remote: Remote,
        /// Name of the host
        #[bpaf(positional("HOST"))]
        host: String,
    },
    /// Let a host vote no longer
    #[bpaf(command)]
    Remove {
        #[bpaf(external)]
        change: Change,
        #[bpaf(external)]
        remote: Remote,
        /// Name of the host
        #[bpaf(positional("HOST"))]
        host: String,
    },
}
