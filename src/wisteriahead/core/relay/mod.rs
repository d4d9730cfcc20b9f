//! What a host may send beyond the first attempt of each request, and how fast to endpoints in
//! cold start. Both hold in sum over all hosts, without a message between them: each host keeps
//! to a part of its own, and the parts add up to less than the whole.

pub mod absent;
pub mod extras;
pub mod pace;
pub mod reach;
pub mod settle;
