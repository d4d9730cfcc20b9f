//! The command line of `wisteriactl keys`.

use bpaf::Bpaf;
use std::path::PathBuf;
use wisteriahead::ops::keys::{AUTHORITY_DAYS, HOLDER_DAYS};
use wisteriahead::util::tls::Kind;

/// Commands on keys and certificates.
#[derive(Clone, Debug, Bpaf)]
pub enum Keys {
    /// Create the certificate authority
    #[bpaf(command)]
    Init {
        /// Folder to write to; created if missing
        #[bpaf(long, env("WISTERIACTL_FOLDER"), argument("DIR"))]
        folder: PathBuf,
        /// Days that the certificate is valid
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
        /// Folder with the authority's files; the certificate is written there
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
        /// Days that the certificate is valid
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
        /// Print JSON
        #[bpaf(long, env("WISTERIACTL_JSON"), switch)]
        json: bool,
        /// File of the certificate
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}
