//! The command line: every setting as flag and environment variable.

use bpaf::Bpaf;
use std::net::SocketAddr;
use std::path::PathBuf;
use wisteriahead::core::document::Revision;
use wisteriahead::ops::client::Server;
use wisteriahead::util::tls::{Kind, TlsPaths};

/// Operates a wisteriahead tier
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Make keys and certificates
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
    /// Show the endpoints
    #[bpaf(command)]
    Endpoints {
        #[bpaf(external)]
        remote: Remote,
    },
    /// Get, check or change the inventory
    #[bpaf(command)]
    Inventory {
        #[bpaf(external)]
        inventory: Inventory,
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
    /// Check a document without asking any host
    #[bpaf(command)]
    Check {
        /// Document to check
        #[bpaf(long, env("WISTERIACTL_FILE"), argument("FILE"))]
        file: PathBuf,
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
        /// Identifier of the change; give the same one to send it again
        #[bpaf(long, env("WISTERIACTL_ID"), argument("ID"))]
        id: Option<String>,
        #[bpaf(external)]
        remote: Remote,
    },
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
    pub fn server(self) -> Server {
        let tls = TlsPaths { ca: self.ca, cert: self.cert, key: self.key };
        Server { address: self.server, tls }
    }
}
