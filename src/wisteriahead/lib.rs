//! The query tier: everything between callers and endpoints, as a library.
//!
//! The crate is laid out in four parts:
//!
//! - [`core`] says what things are. It holds the types and every decision, as
//!   state machines that take the time and an event and return actions. Nothing
//!   in it reads a clock, opens a socket or draws a random number.
//! - [`services`] drives those state machines with real time, sockets and files.
//!   Each service is started by the kernel and reached by name.
//! - [`kernel`] starts and stops the services and lets them find each other.
//! - [`ops`] says what each command does, with a struct of options for each.
//! - [`util`] holds plumbing that knows nothing of queries.
//!
//! The two programs in `src/bin` parse their settings and call one operation.

pub mod core;
pub mod kernel;
pub mod ops;
pub mod prelude;
pub mod services;
pub mod util;
