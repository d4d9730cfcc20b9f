//! What each command does, with a struct of options for each.

pub mod client;
pub mod failure;
pub mod inventory;
pub mod keys;
pub mod serve;
pub mod show;
