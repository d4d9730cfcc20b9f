//! The command line of `wisteriactl`. Nearly every flag has an environment variable.
//!
//! Doc comments on the items below that derive `Bpaf` are the texts of `--help`.

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

/// Default of `--timeout`.
const WAIT_TIMEOUT: Span = Span::secs(30);

/// Operates a wisteriahead tier
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Create the certificate authority, issue and show certificates
    #[bpaf(command)]
    Keys {
        #[bpaf(external)]
        keys: Keys,
    },
    /// Show the asked host, its revision and the other hosts
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
    /// Take an availability zone out of service or bring it back
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
    /// Get, edit, check, compare or apply the inventory
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
    /// Wait until a revision is in force
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
    /// List, add or remove voters, the hosts whose majority accepts changes
    #[bpaf(command)]
    Voters {
        #[bpaf(external)]
        voters: Voters,
    },
    /// Show the audit trail of changes
    #[bpaf(command)]
    Audit {
        #[bpaf(external)]
        audit: Audit,
    },
}

/// Options that all changes share.
#[derive(Clone, Debug, Bpaf)]
pub struct Change {
    /// Identifier of the change; repeat it to send the same change again
    #[bpaf(long, env("WISTERIACTL_ID"), argument("ID"))]
    pub id: Option<String>,
    /// Wait until the change is in force at every host
    #[bpaf(long, env("WISTERIACTL_WAIT"), switch)]
    pub wait: bool,
    #[bpaf(external)]
    /// Limit of the wait.
    pub wait_limit: WaitLimit,
}

/// How long to wait for a revision to be in force.
#[derive(Clone, Debug, Bpaf)]
pub struct WaitLimit {
    /// Longest wait until the revision is in force at every host
    #[bpaf(
        long,
        env("WISTERIACTL_TIMEOUT"),
        argument::<humantime::Duration>("TIME"),
        map(into_span),
        fallback(WAIT_TIMEOUT),
        display_fallback
    )]
    pub timeout: Span,
}

fn into_span(time: humantime::Duration) -> Span {
    Span::from(*time)
}

/// Host to ask, the operator's credentials, and the output format.
#[derive(Clone, Debug, Bpaf)]
pub struct Remote {
    /// Address of the host's operator API
    #[bpaf(long, env("WISTERIACTL_SERVER"), argument("IP:PORT"))]
    pub server: SocketAddr,
    /// Certificate of the operator
    #[bpaf(long, env("WISTERIACTL_CERT"), argument("FILE"))]
    pub cert: PathBuf,
    /// Private key of the operator
    #[bpaf(long, env("WISTERIACTL_KEY"), argument("FILE"))]
    pub key: PathBuf,
    /// Certificate of the authority
    #[bpaf(long, env("WISTERIACTL_CA"), argument("FILE"))]
    pub ca: PathBuf,
    /// Print JSON
    #[bpaf(long, env("WISTERIACTL_JSON"), switch)]
    pub json: bool,
}

impl Remote {
    /// Host to ask, with the operator's credentials.
    pub fn server(&self) -> Server {
        let tls = TlsPaths { ca: self.ca.clone(), cert: self.cert.clone(), key: self.key.clone() };
        Server { address: self.server, tls }
    }
}
