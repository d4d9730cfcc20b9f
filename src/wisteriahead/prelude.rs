//! Types that most modules use.

pub use crate::core::endpoint::{Announcement, EndpointKey, EndpointState, Holding};
pub use crate::core::time::{Span, Time};
pub use crate::core::verdict::{Reason, Refusal, Verdict};
pub use anyhow::{Context as _, Result};
pub use indexmap::{IndexMap, IndexSet};
pub use std::sync::Arc;
