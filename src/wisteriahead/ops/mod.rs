//! What each command does, with a struct of options for each.

pub mod serve;
