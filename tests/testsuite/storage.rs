use crate::support::config;
use proptest::prelude::*;
use std::sync::Arc;
use wisteria_testkit::disk::FakeDisk;
use wisteriahead::util::disk::{DataFolder, Disk, DiskError, Journal};

const NAME: &str = "journal";

#[derive(Clone, Debug)]
enum Step {
    Append(Vec<u8>),
    Sync,
    Compact,
    /// A crash; the seed selects which unsynced writes survive.
    Crash(u64),
    /// Limits the free space of the disk to this many bytes.
    Full(usize),
    Reopen,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => prop::collection::vec(any::<u8>(), 1..200).prop_map(Step::Append),
        4 => Just(Step::Sync),
        1 => Just(Step::Compact),
        3 => any::<u64>().prop_map(Step::Crash),
        1 => (0..300usize).prop_map(Step::Full),
        1 => Just(Step::Reopen),
    ]
}

/// Encodes the base of a journal in these tests: all records so far, each after its length.
fn encode_base(records: &[Vec<u8>]) -> Vec<u8> {
    records.iter().flat_map(|r| [&[r.len() as u8], r.as_slice()].concat()).collect()
}

fn decode_base(mut base: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while let Some((&len, rest)) = base.split_first() {
        let (record, rest) = rest.split_at(usize::from(len));
        records.push(record.to_vec());
        base = rest;
    }
    records
}

fn open(disk: &Arc<FakeDisk>) -> Result<(Journal, Vec<Vec<u8>>), DiskError> {
    let opened = Journal::open(disk.clone(), NAME)?;
    let all = decode_base(&opened.base).into_iter().chain(opened.records).collect();
    Ok((opened.journal, all))
}

/// Runs the steps and checks at every reopening that the records read are a prefix of those
/// written and include all that were synced.
fn run(steps: Vec<Step>) -> (Arc<FakeDisk>, Vec<Vec<u8>>) {
    let disk = Arc::new(FakeDisk::default());
    let (mut journal, _) = open(&disk).unwrap();
    let (mut written, mut synced) = (Vec::new(), 0);
    for step in steps {
        let reopen = matches!(step, Step::Crash(_) | Step::Reopen);
        match step {
            Step::Append(body) => {
                // A record whose write failed may or may not be on the disk.
                if !matches!(journal.append(&body), Err(DiskError::Failed)) {
                    written.push(body);
                }
            }
            Step::Sync => {
                if journal.sync().is_ok() {
                    synced = written.len();
                }
            }
            Step::Compact => {
                if journal.sync().is_ok() && journal.compact(&encode_base(&written)).is_ok() {
                    synced = written.len();
                }
            }
            Step::Crash(seed) => disk.crash(seed),
            Step::Full(room) => disk.set_free_bytes(Some(room)),
            Step::Reopen => {}
        }
        if reopen {
            disk.set_free_bytes(None);
            let (again, read) = open(&disk).unwrap();
            assert!(read.len() >= synced, "synced {synced}, read {}", read.len());
            assert_eq!(read, written[..read.len()]);
            journal = again;
            written = read;
            synced = written.len();
        }
    }
    disk.set_free_bytes(None);
    let _ = journal.sync();
    let (_, read) = open(&disk).unwrap_or_else(|e| panic!("{e}"));
    assert!(read.len() >= synced, "synced {synced}, read {}", read.len());
    (disk, read)
}

proptest! {
    #![proptest_config(config(512))]

    #[test]
    fn synced_records_survive_any_crash(steps in prop::collection::vec(step(), 1..60)) {
        run(steps);
    }

    #[test]
    fn flipped_bit_is_refused_or_harmless(
        steps in prop::collection::vec(step(), 1..30),
        file in any::<prop::sample::Index>(),
        bit in any::<prop::sample::Index>(),
    ) {
        let (disk, read) = run(steps);
        let names = disk.list().unwrap();
        let name = &names[file.index(names.len())];
        let bits = 8 * disk.read(name).unwrap().len();
        if bits > 0 {
            disk.flip_bit(name, bit.index(bits));
            match open(&disk) {
                // The bit was in a marker that no later record needs.
                Ok((_, again)) => prop_assert_eq!(again, read),
                Err(DiskError::Corrupt { .. }) => {}
                Err(e) => panic!("{e}"),
            }
        }
    }
}

#[test]
fn damaged_record_in_the_middle_is_refused_with_its_offset() {
    let disk = Arc::new(FakeDisk::default());
    let (mut journal, _) = open(&disk).unwrap();
    for body in [b"one", b"two"] {
        journal.append(body).unwrap();
        journal.sync().unwrap();
    }
    let file = disk.list().unwrap().remove(0);
    // The body of the first record follows a marker and a header.
    disk.flip_bit(&file, 8 * 29);
    let fault = open(&disk).map(drop).unwrap_err().to_string();
    assert!(fault.contains(&file) && fault.contains("damaged at byte"), "{fault}");
}

#[test]
fn failed_write_refuses_all_writes_until_a_restart() {
    let disk = Arc::new(FakeDisk::default());
    let (mut journal, _) = open(&disk).unwrap();
    journal.append(b"one").unwrap();
    journal.sync().unwrap();
    disk.set_free_bytes(Some(5));
    assert!(matches!(journal.append(b"two"), Err(DiskError::Io { .. })));
    disk.set_free_bytes(None);
    assert!(matches!(journal.append(b"three"), Err(DiskError::Failed)));
    assert!(matches!(journal.sync(), Err(DiskError::Failed)));
    assert_eq!(open(&disk).unwrap().1, [b"one"]);
}

#[test]
fn data_folder_is_locked_by_one_process() {
    let dir = tempfile::TempDir::new().unwrap();
    let root = dir.path().join("data");
    let folder: Arc<dyn Disk> = Arc::new(DataFolder::open(&root).unwrap());
    assert!(DataFolder::open(&root).err().unwrap().to_string().contains("in use"));
    let mut journal = Journal::open(folder.clone(), NAME).unwrap().journal;
    journal.append(b"one").unwrap();
    journal.sync().unwrap();
    journal.compact(b"base").unwrap();
    journal.append(b"two").unwrap();
    journal.sync().unwrap();
    drop((journal, folder));
    // A child process that another test forked holds the lock until it calls `exec`.
    let again = (0..10_000).find_map(|_| {
        std::thread::sleep(std::time::Duration::from_millis(1));
        DataFolder::open(&root).ok()
    });
    let opened = Journal::open(Arc::new(again.unwrap()), NAME).unwrap();
    assert_eq!((opened.base, opened.records), (b"base".to_vec(), vec![b"two".to_vec()]));
}
