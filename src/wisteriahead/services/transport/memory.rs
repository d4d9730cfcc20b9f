//! Bound on the memory for the responses of all endpoints together.
//!
//! Each response has a bound of its own, but faulty endpoints may send many at once.

use crate::prelude::*;
use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Maximum number of bytes held at once, not counting the first [`UNCOUNTED_BYTES`] of each response.
const TOTAL_MAX_BYTES: usize = 32 << 20;
/// Bytes of each response that do not count, so that ordinary ones are read while faulty endpoints use
/// up the rest.
const UNCOUNTED_BYTES: usize = 16 << 10;

/// Share of the memory that a response takes; dropping it releases the share.
pub type MemoryShare = Option<Arc<OwnedSemaphorePermit>>;

/// Memory for responses.
#[derive(Clone)]
pub struct ResponseMemory(Arc<Semaphore>);

impl Default for ResponseMemory {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(TOTAL_MAX_BYTES)))
    }
}

impl ResponseMemory {
    /// Reads a body of at most `max` bytes.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the verdict "may have run" if the body is longer or breaks off, or if
    /// other responses take all memory.
    pub async fn read(
        &self,
        mut body: Incoming,
        max: usize,
    ) -> Result<(Bytes, MemoryShare), Refusal> {
        let failed = |detail: String| Refusal::may_have_run(Reason::Connection, detail);
        let mut frames = Vec::new();
        let (mut length, mut share) = (0, None);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| failed(format!("the answer broke off: {e}")))?;
            let Ok(data) = frame.into_data() else { continue };
            length += data.len();
            if length > max {
                return Err(failed(format!("the answer is longer than {max} bytes")));
            }
            self.take(length.saturating_sub(UNCOUNTED_BYTES).min(data.len()), &mut share)?;
            frames.push(data);
        }
        let body = match &mut frames[..] {
            [only] => std::mem::take(only),
            _ => frames.concat().into(),
        };
        Ok((body, share.map(Arc::new)))
    }

    /// Takes more bytes of the memory.
    fn take(&self, bytes: usize, share: &mut Option<OwnedSemaphorePermit>) -> Result<(), Refusal> {
        if bytes == 0 {
            return Ok(());
        }
        let count = u32::try_from(bytes).ok();
        let Some(more) = count.and_then(|n| self.0.clone().try_acquire_many_owned(n).ok()) else {
            let detail = "the answers that this host holds take all memory set aside for them";
            return Err(Refusal::may_have_run(Reason::Internal, detail));
        };
        match share {
            Some(share) => share.merge(more),
            None => *share = Some(more),
        }
        Ok(())
    }
}
