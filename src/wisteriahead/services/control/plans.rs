//! Plan and zone changes of the platform, for a tier that is run by a plan.

use super::bootstrap::TIER_GROUP;
use super::{Shared, submit};
use crate::core::control::{Command, Reply};
use crate::core::document::ZoneState;
use crate::core::plan::Plan;
use crate::prelude::*;
use crate::services::Plans;
use futures::future::BoxFuture;
use tokio::time::sleep;

/// Time allowed for a plan or a zone change to be committed. After it the caller tries another host,
/// so that it does not wait for a host that is partitioned from the quorum.
const COMMIT_TIMEOUT: Span = Span::secs(4);
/// Time after the arrival of an order in which it is noticed that its caller has closed the connection;
/// the call is then dropped.
const HANG_UP_WAIT: Span = Span::millis(30);
/// Operator recorded for changes through [`Plans`], whose calls name none.
const DEFAULT_OPERATOR: &str = "platform";

impl Shared {
    async fn commit(&self, command: Command) -> Result<Reply, Refusal> {
        submit::submit(self, TIER_GROUP, command, COMMIT_TIMEOUT).await
    }
}

fn unexpected_reply() -> Refusal {
    Refusal::may_have_run(Reason::Internal, "the reply is of another kind")
}

impl Plans for Shared {
    fn publish(&self, plan: Plan) -> BoxFuture<'_, Result<(), Refusal>> {
        Box::pin(async move {
            plan.check().map_err(|fault| Refusal::not_run(Reason::BadRequest, fault))?;
            match self.commit(Command::Publish(Arc::new(plan))).await? {
                Reply::Published(_) => Ok(()),
                _ => Err(unexpected_reply()),
            }
        })
    }

    fn newest(&self) -> BoxFuture<'_, Result<Option<Arc<Plan>>, Refusal>> {
        Box::pin(async move {
            match self.commit(Command::Plan).await? {
                Reply::Plan(plan) => Ok(plan),
                _ => Err(unexpected_reply()),
            }
        })
    }

    fn set_zone<'a>(
        &'a self,
        zone: &'a str,
        state: ZoneState,
    ) -> BoxFuture<'a, Result<(), Refusal>> {
        Box::pin(async move {
            // Noted first, since waiting lets this host learn of later changes.
            let seen = Some(self.settled.lock().get(self.now()));
            crate::core::endpoint::check_name("zone", zone)
                .map_err(|fault| Refusal::not_run(Reason::BadRequest, fault))?;
            sleep(HANG_UP_WAIT.to_std()).await;
            let id = format!("{:016x}", rand::random::<u64>());
            let (operator, zone) = (DEFAULT_OPERATOR.to_owned(), zone.to_owned());
            let base = self.revisions.revision();
            match self.commit(Command::Zone { id, operator, zone, state, base, seen }).await? {
                Reply::Change(result) => result.map(drop),
                _ => Err(unexpected_reply()),
            }
        })
    }
}
