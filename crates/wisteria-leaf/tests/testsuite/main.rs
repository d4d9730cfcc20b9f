//! Tests of the stand-in leaf.

mod faults;
mod leaf;
mod support;
