//! Tests of the stand-in endpoint.

mod faults;
mod leaf;
mod support;
