//! The query tier between callers and endpoints, as a library.
//!
//! - [`core`] holds the types and the logic, as state machines that take the time and an event
//!   and return actions. It reads no clock, opens no socket and draws no random numbers.
//! - [`services`] runs the state machines on real time, sockets and files. Each service is
//!   started by the kernel and looked up by name.
//! - [`kernel`] starts and stops the services, and lets them look each other up.
//! - [`ops`] implements the commands, with a struct of options for each.
//! - [`util`] holds helpers that do not depend on the domain.
//!
//! The two programs in `src/bin` parse their settings and call one operation.

pub mod core;
pub mod kernel;
pub mod ops;
pub mod prelude;
pub mod services;
pub mod util;
