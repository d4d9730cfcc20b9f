//! The plan in the replicated log, for a tier that is run by one.

use super::form::TIER;
use super::{Shared, submit};
use crate::core::control::{Command, Reply};
use crate::core::document::ZoneState;
use crate::core::plan::Plan;
use crate::prelude::*;
use crate::services::Plans;
use futures::future::BoxFuture;

/// Time allowed for a plan or a zone to be committed. The caller asks another host after this,
/// so that a host which a cut keeps from the quorum does not hold it.
const COMMIT_MAX: Span = Span::secs(4);
/// Operator of changes whose caller gives no name.
const PLATFORM: &str = "platform";

impl Shared {
    async fn ask(&self, command: Command) -> Result<Reply, Refusal> {
        submit::submit(self, TIER, command, COMMIT_MAX).await
    }
}

fn unexpected() -> Refusal {
    Refusal::may_have_run(Reason::Internal, "the reply is of another kind")
}

impl Plans for Shared {
    fn publish(&self, plan: Plan) -> BoxFuture<'_, Result<(), Refusal>> {
        Box::pin(async move {
            plan.check().map_err(|fault| Refusal::not_run(Reason::BadRequest, fault))?;
            match self.ask(Command::Publish(Arc::new(plan))).await? {
                Reply::Published(_) => Ok(()),
                _ => Err(unexpected()),
            }
        })
    }

    fn newest(&self) -> BoxFuture<'_, Result<Option<Arc<Plan>>, Refusal>> {
        Box::pin(async move {
            match self.ask(Command::Plan).await? {
                Reply::Plan(plan) => Ok(plan),
                _ => Err(unexpected()),
            }
        })
    }

    fn set_zone<'a>(
        &'a self,
        zone: &'a str,
        state: ZoneState,
    ) -> BoxFuture<'a, Result<(), Refusal>> {
        Box::pin(async move {
            crate::core::endpoint::check_name("zone", zone)
                .map_err(|fault| Refusal::not_run(Reason::BadRequest, fault))?;
            let id = format!("{:016x}", rand::random::<u64>());
            let (operator, zone) = (PLATFORM.to_owned(), zone.to_owned());
            let base = self.revisions.revision();
            match self.ask(Command::Zone { id, operator, zone, state, base }).await? {
                Reply::Change(done) => done.map(drop),
                _ => Err(unexpected()),
            }
        })
    }
}
