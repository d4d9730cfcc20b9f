use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};
use wisteria_testkit::blocking_disk::BlockingDisk;
use wisteriahead::core::log::{Body, Checkpoint, Index, Message, Replica};
use wisteriahead::services::replica::{Group, MessageSender, StateMachine, Store, StoredReplica};

const HOSTS: usize = 3;
/// Answers to heartbeats that show that a replica goes on.
const ANSWERS: usize = 5;
/// Pause between two looks at a condition.
const LOOK: Duration = Duration::from_millis(5);
/// Time after which something hangs.
const HANGS: Duration = Duration::from_secs(120);

/// Delivers messages within the process and notes what was acknowledged.
#[derive(Default)]
struct Net {
    groups: Mutex<Vec<Group>>,
    acks: Mutex<Vec<(Replica, Index)>>,
}

struct Wire(Arc<Net>);

impl MessageSender for Wire {
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

struct Trio {
    net: Arc<Net>,
    disks: Vec<Arc<BlockingDisk>>,
}

impl Trio {
    fn start() -> Self {
        let id = |i| Replica { host: format!("h{i}"), zone: "z".into(), disk: i as u64 };
        let voters: Vec<Replica> = (0..HOSTS).map(id).collect();
        let (net, mut disks) = (Arc::new(Net::default()), Vec::new());
        for (i, me) in voters.iter().enumerate() {
            let disk = Arc::new(BlockingDisk::default());
            let StoredReplica { mut store, .. } = Store::open(disk.clone(), "log").unwrap();
            let base = Checkpoint::empty(voters.clone());
            store.compact(&base).unwrap();
            let kept = StoredReplica { store, checkpoint: Some(base), records: Vec::new() };
            let wire = Box::new(Wire(net.clone()));
            let group = Group::start(me.clone(), kept, Box::new(Echo), wire, i as u64).unwrap();
            net.groups.lock().push(group);
            disks.push(disk);
        }
        Self { net, disks }
    }

    fn group(&self, i: usize) -> Group {
        self.net.groups.lock()[i].clone()
    }

    fn leader(&self) -> Option<usize> {
        (0..HOSTS).find(|&i| self.group(i).status().leads)
    }

    /// Proposes until a command is applied, at whatever host leads.
    async fn command(&self) {
        wait(async || {
            let Some(leader) = self.leader() else { return false };
            self.group(leader).propose(b"command".to_vec()).await.is_ok()
        })
        .await;
    }

    /// Answers of a replica so far, and the highest position that they acknowledge.
    fn acks(&self, i: usize) -> (usize, Index) {
        let acks = self.net.acks.lock();
        let mine = acks.iter().filter(|(from, _)| from.disk == i as u64);
        (mine.clone().count(), mine.map(|(_, index)| *index).max().unwrap_or(0))
    }
}

impl Trio {
    /// Waits for some more answers of a replica.
    async fn answers(&self, i: usize) {
        let (before, _) = self.acks(i);
        wait(async || self.acks(i).0 >= before + ANSWERS).await;
    }
}

impl Drop for Trio {
    fn drop(&mut self) {
        self.disks.iter().for_each(|d| d.unblock_syncs());
        // The groups hold the net, and the net the groups.
        let groups = std::mem::take(&mut *self.net.groups.lock());
        groups.iter().for_each(Group::stop);
    }
}

async fn wait(mut holds: impl AsyncFnMut() -> bool) {
    let waited = timeout(HANGS, async {
        while !holds().await {
            sleep(LOOK).await;
        }
    });
    waited.await.expect("the condition is never met");
}

#[tokio::test(flavor = "multi_thread")]
async fn leader_with_a_slow_disk_commits_by_the_others() {
    let trio = Trio::start();
    trio.command().await;
    // Again when another was elected meanwhile, as a very busy machine may have it.
    wait(async || {
        let Some(leader) = trio.leader() else { return false };
        trio.disks[leader].block_syncs();
        let group = trio.group(leader);
        let done = timeout(HANGS, group.propose(b"slow".to_vec())).await;
        trio.disks[leader].unblock_syncs();
        done.expect("the proposal waits for the leader's disk").is_ok()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn follower_with_a_slow_disk_answers_and_acknowledges_nothing_new() {
    let trio = Trio::start();
    trio.command().await;
    let slow = (0..HOSTS).find(|&i| !trio.group(i).status().leads).unwrap();
    trio.command().await;
    wait(async || trio.acks(slow).1 > 0).await;
    trio.disks[slow].block_syncs();
    trio.command().await;
    wait(async || trio.disks[slow].has_blocked_sync()).await;
    trio.answers(slow).await;
    let before = trio.acks(slow);
    trio.command().await;
    trio.answers(slow).await;
    assert_eq!(trio.acks(slow).1, before.1, "what is not synced was acknowledged");
    trio.disks[slow].unblock_syncs();
    wait(async || trio.acks(slow).1 > before.1).await;
}
