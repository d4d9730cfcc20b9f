use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};
use wisteria_testkit::blocking_disk::BlockingDisk;
use wisteriahead::core::log::{Body, Checkpoint, Index, Message, Replica};
use wisteriahead::services::replica::{Group, MessageSender, StateMachine, Store, StoredReplica};

const HOSTS: usize = 3;
/// Heartbeat answers after which a replica is known to be running.
const ANSWERS: usize = 5;
/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Timeout of waits; only a hang reaches it.
const HANG_TIMEOUT: Duration = Duration::from_secs(120);

/// Delivers messages within the process and records acknowledgements.
#[derive(Default)]
struct Network {
    groups: Mutex<Vec<Group>>,
    acks: Mutex<Vec<(Replica, Index)>>,
}

struct InProcessCarrier(Arc<Network>);

impl MessageSender for InProcessCarrier {
    fn send(&self, to: &Replica, message: Message) {
        if let Body::Appended { matched: true, index } = message.body {
            self.0.acks.lock().push((message.from.clone(), index));
        }
        if let Some(group) = self.0.groups.lock().get(to.disk as usize) {
            group.receive(message);
        }
    }
}

struct Echo;

impl StateMachine for Echo {
    fn apply(&mut self, data: &[u8]) -> Vec<u8> {
        data.to_vec()
    }

    fn snapshot(&self) -> Vec<u8> {
        Vec::new()
    }

    fn restore(&mut self, _bytes: &[u8]) -> anyhow::Result<()> {
        Ok(())
    }

    fn after_batch(&mut self, _leads: bool) {}

    fn query(&self, _question: &[u8]) -> Vec<u8> {
        Vec::new()
    }
}

struct Cluster {
    network: Arc<Network>,
    disks: Vec<Arc<BlockingDisk>>,
}

impl Cluster {
    fn start() -> Self {
        let id = |i| Replica { host: format!("h{i}"), zone: "z".into(), disk: i as u64 };
        let voters: Vec<Replica> = (0..HOSTS).map(id).collect();
        let (network, mut disks) = (Arc::new(Network::default()), Vec::new());
        for (i, me) in voters.iter().enumerate() {
            let disk = Arc::new(BlockingDisk::default());
            let StoredReplica { mut store, .. } = Store::open(disk.clone(), "log").unwrap();
            let base = Checkpoint::empty(voters.clone());
            store.compact(&base).unwrap();
            let kept = StoredReplica { store, checkpoint: Some(base), records: Vec::new() };
            let carrier = Box::new(InProcessCarrier(network.clone()));
            let group = Group::start(me.clone(), kept, Box::new(Echo), carrier, i as u64).unwrap();
            network.groups.lock().push(group);
            disks.push(disk);
        }
        Self { network, disks }
    }

    fn group(&self, i: usize) -> Group {
        self.network.groups.lock()[i].clone()
    }

    fn leader(&self) -> Option<usize> {
        (0..HOSTS).find(|&i| self.group(i).status().leads)
    }

    /// Proposes a command to the current leader until it is applied.
    async fn commit_command(&self) {
        wait_until(async || {
            let Some(leader) = self.leader() else { return false };
            self.group(leader).propose(b"command".to_vec()).await.is_ok()
        })
        .await;
    }

    /// Number of answers of a replica, and the highest index that they acknowledge.
    fn acks(&self, i: usize) -> (usize, Index) {
        let acks = self.network.acks.lock();
        let mine = acks.iter().filter(|(from, _)| from.disk == i as u64);
        (mine.clone().count(), mine.map(|(_, index)| *index).max().unwrap_or(0))
    }
}

impl Cluster {
    /// Waits for `ANSWERS` more answers of a replica.
    async fn wait_for_answers(&self, i: usize) {
        let (before, _) = self.acks(i);
        wait_until(async || self.acks(i).0 >= before + ANSWERS).await;
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.disks.iter().for_each(|d| d.unblock_syncs());
        // Breaks the reference cycle between the groups and the network.
        let groups = std::mem::take(&mut *self.network.groups.lock());
        groups.iter().for_each(Group::stop);
    }
}

async fn wait_until(mut holds: impl AsyncFnMut() -> bool) {
    let waited = timeout(HANG_TIMEOUT, async {
        while !holds().await {
            sleep(POLL_INTERVAL).await;
        }
    });
    waited.await.expect("the condition is never met");
}

#[tokio::test(flavor = "multi_thread")]
async fn leader_with_a_stalled_disk_commits_through_followers() {
    let cluster = Cluster::start();
    cluster.commit_command().await;
    // Retried if another leader was elected meanwhile, as on a busy machine.
    wait_until(async || {
        let Some(leader) = cluster.leader() else { return false };
        cluster.disks[leader].block_syncs();
        let group = cluster.group(leader);
        let done = timeout(HANG_TIMEOUT, group.propose(b"slow".to_vec())).await;
        cluster.disks[leader].unblock_syncs();
        done.expect("the proposal waits for the leader's disk").is_ok()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn follower_with_a_stalled_disk_answers_but_acknowledges_nothing_new() {
    let cluster = Cluster::start();
    cluster.commit_command().await;
    let stalled = (0..HOSTS).find(|&i| !cluster.group(i).status().leads).unwrap();
    cluster.commit_command().await;
    wait_until(async || cluster.acks(stalled).1 > 0).await;
    cluster.disks[stalled].block_syncs();
    cluster.commit_command().await;
    wait_until(async || cluster.disks[stalled].has_blocked_sync()).await;
    cluster.wait_for_answers(stalled).await;
    let before = cluster.acks(stalled);
    cluster.commit_command().await;
    cluster.wait_for_answers(stalled).await;
    assert_eq!(cluster.acks(stalled).1, before.1, "an unsynced entry was acknowledged");
    cluster.disks[stalled].unblock_syncs();
    wait_until(async || cluster.acks(stalled).1 > before.1).await;
}
