//! What each command does, with a struct of options for each.

pub mod audit;
pub mod change;
pub mod client;
pub mod diff;
pub mod edit;
pub mod failure;
pub mod inventory;
pub mod keys;
pub mod revision;
pub mod serve;
pub mod show;
pub mod voters;
pub mod zone;
