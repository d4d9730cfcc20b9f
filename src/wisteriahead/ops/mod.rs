//! The operations behind the commands of `wisteriahead` and `wisteriactl`. An operation is a
//! function that takes a struct of options.

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
