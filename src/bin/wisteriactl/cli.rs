//! The command line: every setting as flag and environment variable.

use bpaf::Bpaf;
use std::net::SocketAddr;
use std::path::PathBuf;
use wisteriahead::core::document::Revision;
use wisteriahead::core::time::Span;
use wisteriahead::ops::client::Server;
use wisteriahead::ops::keys::{AUTHORITY_DAYS, HOLDER_DAYS};
use wisteriahead::util::tls::{Kind, TlsPaths};

/// Longest wait for a revision when none is given.
const WAIT: Span = Span::secs(30);
/// Entries of the audit trail read when no limit is given.
const AUDIT_LIMIT: u32 = 100;

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

/// Commands on keys.
#[derive(Clone, Debug, Bpaf)]
pub enum Keys {
    /// Make the certificate authority
    #[bpaf(command)]
    Init {
        /// Folder to write to
        #[bpaf(long, env("WISTERIACTL_FOLDER"), argument("DIR"))]
        folder: PathBuf,
        /// Days that the certificate holds
        #[bpaf(
            long,
            env("WISTERIACTL_DAYS"),
            argument("DAYS"),
            fallback(AUTHORITY_DAYS),
            display_fallback
        )]
        days: u32,
    },
    /// Issue the certificate of a host or operator
    #[bpaf(command)]
    Issue {
        /// Folder with the authority's files, to write to as well
        #[bpaf(long, env("WISTERIACTL_FOLDER"), argument("DIR"))]
        folder: PathBuf,
        /// Kind of the holder: host or operator
        #[bpaf(long, env("WISTERIACTL_KIND"), argument("KIND"))]
        kind: Kind,
        /// Name of the holder
        #[bpaf(long, env("WISTERIACTL_NAME"), argument("NAME"))]
        name: String,
        /// Availability zone of the holder
        #[bpaf(long, env("WISTERIACTL_ZONE"), argument("ZONE"))]
        zone: Option<String>,
        /// Days that the certificate holds
        #[bpaf(
            long,
            env("WISTERIACTL_DAYS"),
            argument("DAYS"),
            fallback(HOLDER_DAYS),
            display_fallback
        )]
        days: u32,
        /// Replace the certificate and keep the private key
        #[bpaf(long, switch)]
        renew: bool,
    },
    /// Show who holds a certificate and when it expires
    #[bpaf(command)]
    Show {
        /// Print JSON for scripts
        #[bpaf(long, env("WISTERIACTL_JSON"), switch)]
        json: bool,
        /// Certificate to show
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

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

/// Commands on the inventory.
#[derive(Clone, Debug, Bpaf)]
pub enum Inventory {
    /// Print the inventory in force
    #[bpaf(command)]
    Get {
        #[bpaf(external)]
        remote: Remote,
    },
    /// Write a copy of the inventory in force, wait until it is edited, and put it in force
    #[bpaf(command)]
    Edit {
        #[bpaf(external)]
        change: Change,
        #[bpaf(external)]
        remote: Remote,
    },
    /// Check a document without asking any host
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
    /// Put a document in force
    #[bpaf(command)]
    Apply {
        /// Document to put in force
        #[bpaf(long, env("WISTERIACTL_FILE"), argument("FILE"))]
        file: PathBuf,
        /// Revision that was edited; the one in force now if not given
        #[bpaf(long, env("WISTERIACTL_BASE"), argument("REVISION"))]
        base: Option<Revision>,
        #[bpaf(external)]
        change: Change,
        #[bpaf(external)]
        remote: Remote,
    },
}

/// Commands on revisions.
#[derive(Clone, Debug, Bpaf)]
pub enum RevisionCommand {
    /// Wait until a revision is in force at every host
    #[bpaf(command)]
    Wait {
        #[bpaf(external)]
        patience: Patience,
        #[bpaf(external)]
        remote: Remote,
        /// Revision to wait for
        #[bpaf(positional("REVISION"))]
        revision: Revision,
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

/// Which part of the trail of changes to show.
#[derive(Clone, Debug, Bpaf)]
pub struct Audit {
    /// Begin after the entry of this number
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
    /// Go on showing entries as they are written
    #[bpaf(long, switch)]
    pub follow: bool,
    #[bpaf(external)]
    /// Which host to ask.
    pub remote: Remote,
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
