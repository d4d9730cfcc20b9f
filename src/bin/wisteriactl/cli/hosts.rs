//! The command lines of `wisteriactl zone` and `wisteriactl voters`.

use super::{Change, Remote, change, remote};
use bpaf::Bpaf;

/// Commands on an availability zone.
#[derive(Clone, Debug, Bpaf)]
pub enum Zone {
    /// Take an availability zone out: send no new work to it
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
    /// Bring an availability zone back in: send work to it again
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
    /// List the voters, the leader and the hosts that are catching up
    #[bpaf(command)]
    List {
        #[bpaf(external)]
        remote: Remote,
    },
    /// Make a host a voter once it has caught up
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
    /// Remove a host from the voters
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
