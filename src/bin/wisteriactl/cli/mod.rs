//! The command line: every setting as flag and environment variable.

mod history;
mod hosts;
mod inventory;
mod keys;

pub use self::history::{Audit, RevisionCommand};
pub use self::hosts::{Voters, Zone};
pub use self::inventory::Inventory;
pub use self::keys::Keys;

use self::history::{audit, revision_command};
use self::hosts::{voters, zone};
use self::inventory::inventory;
use self::keys::keys;
use bpaf::Bpaf;
use std::net::SocketAddr;
use std::path::PathBuf;
use wisteriahead::core::time::Span;
use wisteriahead::ops::client::Server;
use wisteriahead::util::tls::TlsPaths;

/// Longest wait for a revision when none is given.
const WAIT: Span = Span::secs(30);

/// Operates a wisteriahead tier
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Make, issue and show keys and certificates
    #[bpaf(command)]
    Keys {
        #[bpaf(external)]
        keys: Keys,
    },
    /// Show the host, its revision and the other hosts
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        remote: Remote,
    },
    /// Show the availability zones
    #[bpaf(command)]
    Zones {
        #[bpaf(external)]
        remote: Remote,
    },
    /// Take an availability zone out or bring it back in
    #[bpaf(command)]
    Zone {
        #[bpaf(external)]
        zone: Zone,
    },
    /// Show the endpoints
    #[bpaf(command)]
    Endpoints {
        #[bpaf(external)]
        remote: Remote,
    },
    /// Get, check, compare or change the inventory
    #[bpaf(command)]
    Inventory {
        #[bpaf(external)]
        inventory: Inventory,
    },
    /// Show the rules in force
    #[bpaf(command)]
    Rules {
        #[bpaf(external)]
        remote: Remote,
    },
    /// Wait for a revision
    #[bpaf(command)]
    Revision {
        #[bpaf(external(revision_command))]
        revision: RevisionCommand,
    },
    /// Show the revision in force at each host
    #[bpaf(command)]
    Revisions {
        #[bpaf(external)]
        remote: Remote,
    },
    /// Show or change the hosts that vote on changes
    #[bpaf(command)]
    Voters {
        #[bpaf(external)]
        voters: Voters,
    },
    /// Show the trail of changes
    #[bpaf(command)]
    Audit {
        #[bpaf(external)]
        audit: Audit,
    },
}

/// What all changes have in common.
#[derive(Clone, Debug, Bpaf)]
pub struct Change {
    /// Identifier of the change; give the same one to send it again
    #[bpaf(long, env("WISTERIACTL_ID"), argument("ID"))]
    pub id: Option<String>,
    /// Wait until the change is in force at every host
    #[bpaf(long, env("WISTERIACTL_WAIT"), switch)]
    pub wait: bool,
    #[bpaf(external)]
    /// How long to wait.
    pub patience: Patience,
}

/// How long to wait for a revision.
#[derive(Clone, Debug, Bpaf)]
pub struct Patience {
    /// Longest wait
    #[bpaf(
        long,
        env("WISTERIACTL_TIMEOUT"),
        argument::<humantime::Duration>("TIME"),
        map(into_span),
        fallback(WAIT),
        display_fallback
    )]
    pub timeout: Span,
}

fn into_span(time: humantime::Duration) -> Span {
    Span::from(*time)
}

/// Which host to ask, as whom, and how to print.
#[derive(Clone, Debug, Bpaf)]
pub struct Remote {
    /// Address of the host's operator API
    #[bpaf(long, env("WISTERIACTL_SERVER"), argument("IP:PORT"))]
    pub server: SocketAddr,
    /// The operator's certificate
    #[bpaf(long, env("WISTERIACTL_CERT"), argument("FILE"))]
    pub cert: PathBuf,
    /// The operator's private key
    #[bpaf(long, env("WISTERIACTL_KEY"), argument("FILE"))]
    pub key: PathBuf,
    /// Certificate of the authority
    #[bpaf(long, env("WISTERIACTL_CA"), argument("FILE"))]
    pub ca: PathBuf,
    /// Print JSON for scripts
    #[bpaf(long, env("WISTERIACTL_JSON"), switch)]
    pub json: bool,
}

impl Remote {
    /// The host to ask.
    pub fn server(&self) -> Server {
        let tls = TlsPaths { ca: self.ca.clone(), cert: self.cert.clone(), key: self.key.clone() };
        Server { address: self.server, tls }
    }
}
