//! Bytes from outside, read by every parser that takes them: rubbish, and good messages
//! with a few bytes or fields changed. None may panic, and what is accepted keeps the
//! limits that it was checked against.

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use serde_json::{Value, json};
use std::panic::{AssertUnwindSafe, catch_unwind};
use wisteria_testkit::prop::config;
use wisteriahead::core::document::{DOCUMENT_MAX_BYTES, Document, HOSTS_MAX};
use wisteriahead::core::endpoint::{
    Announcement, HOLDINGS_MAX, NAME_MAX_BYTES, SHARDS_MAX, SLOTS_MAX, check_name,
};
use wisteriahead::core::hits::{HITS_MAX, Hits};
use wisteriahead::core::message::{
    COMPRESS_MIN_BYTES, DecodeError, Envelope, Topic, VERSION, compress, decode, encode,
};
use wisteriahead::core::verdict::{Refusal, Verdict};
use wisteriahead::services::operator::Edit;
use wisteriahead::services::peers::wire::{Answer, Contact, Hello};

const CASES: u32 = 2_000;
/// Nesting far beyond what any parser follows by recursion.
const DEEP: usize = 200_000;

/// A change to good bytes.
#[derive(Clone, Debug)]
enum Harm {
    Set(Index, u8),
    Cut(Index),
    Insert(Index, Vec<u8>),
    Repeat(Index, u16),
}

fn harm() -> impl Strategy<Value = Harm> {
    prop_oneof![
        (any::<Index>(), any::<u8>()).prop_map(|(at, b)| Harm::Set(at, b)),
        any::<Index>().prop_map(Harm::Cut),
        (any::<Index>(), vec(any::<u8>(), 1..8)).prop_map(|(at, b)| Harm::Insert(at, b)),
        (any::<Index>(), 1..500u16).prop_map(|(at, n)| Harm::Repeat(at, n)),
    ]
}

fn harmed(good: &[u8], harms: &[Harm]) -> Vec<u8> {
    let mut bytes = good.to_vec();
    for harm in harms {
        if bytes.is_empty() {
            break;
        }
        match harm {
            Harm::Set(at, b) => {
                let at = at.index(bytes.len());
                bytes[at] = *b;
            }
            Harm::Cut(at) => bytes.truncate(at.index(bytes.len())),
            Harm::Insert(at, new) => {
                let at = at.index(bytes.len());
                bytes.splice(at..at, new.iter().copied());
            }
            Harm::Repeat(at, n) => {
                let at = at.index(bytes.len());
                let one = bytes[at];
                bytes.splice(at..at, std::iter::repeat_n(one, usize::from(*n)));
            }
        }
    }
    bytes
}

/// Rubbish, or good bytes that were harmed.
fn bytes(good: Vec<u8>) -> impl Strategy<Value = Vec<u8>> {
    let harmed = vec(harm(), 0..4).prop_map(move |h| harmed(&good, &h));
    prop_oneof![1 => vec(any::<u8>(), 0..300), 3 => harmed]
}

/// Any JSON value, extreme ones more often than others.
fn value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        prop_oneof![Just(0u64), Just(1), Just(u64::from(u32::MAX)), Just(u64::MAX)]
            .prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,80}".prop_map(Value::from),
        "[a-z]{60,70}".prop_map(Value::from),
    ];
    leaf.prop_recursive(3, 16, 4, |inner| {
        prop_oneof![
            vec(inner.clone(), 0..4).prop_map(Value::from),
            proptest::collection::btree_map("[a-z]{1,8}", inner, 0..4)
                .prop_map(|m| Value::Object(m.into_iter().collect())),
        ]
    })
}

/// A good object whose fields are replaced, dropped or joined by others.
fn object(good: Value) -> impl Strategy<Value = Value> {
    let fields: Vec<String> = good.as_object().unwrap().keys().cloned().collect();
    vec((any::<Index>(), proptest::option::of(value())), 0..3).prop_map(move |changes| {
        let mut changed = good.clone();
        let map = changed.as_object_mut().unwrap();
        for (field, new) in changes {
            let field = &fields[field.index(fields.len())];
            match new {
                Some(new) => drop(map.insert(field.clone(), new)),
                None => drop(map.remove(field)),
            }
        }
        changed
    })
}

fn announcement() -> Value {
    json!({"endpoint": "kits-3-a", "host": "h7", "address": "127.0.0.1:9001", "zone": "north",
        "service": "kits", "incarnation": 1, "sequence": 4, "state": "starting", "slots": 2,
        "connections": 25, "bearable": 1, "holdings": [
        {"collection": "kits", "snapshot": "2026-12-01", "shard": 3, "shards": 16}]})
}

fn accepts(a: &Announcement) -> bool {
    a.check().is_ok()
}

/// What an accepted announcement keeps to.
fn keeps_limits(a: &Announcement) {
    for name in [&a.endpoint, &a.host, &a.zone, &a.service] {
        assert!((1..=NAME_MAX_BYTES).contains(&name.len()), "{name}");
    }
    assert!((1..=SLOTS_MAX).contains(&a.slots) && (1..=SLOTS_MAX).contains(&a.connections));
    assert!(a.allowed() <= a.slots);
    assert!(a.holdings.len() <= HOLDINGS_MAX);
    for h in &a.holdings {
        assert!(h.shard < h.shards && h.shards <= SHARDS_MAX);
    }
}

const DOCUMENT: &str = r#"
[[zone]]
name = "north"
region = "hokkaido"
[[zone]]
name = "south"
state = "out"
[[host]]
name = "h1"
zone = "north"
state = "leaving"
[rules]
admit = "any"
[[rules.class]]
name = "phone"
priority = 0
timeout_ms = 90
min_coverage = 0.5
[[rules.cap]]
service = "kits"
slots = 2
"#;

fn hello() -> Hello {
    let listen = "127.0.0.1:7103".parse().unwrap();
    let others = vec![Contact { name: "b".to_owned(), listen }];
    let name = "a".to_owned();
    Hello { version: VERSION, name, zone: "north".to_owned(), listen, others, unpacks: false }
}

fn envelope() -> Envelope {
    let (from, body) = ("a".to_owned(), encode(&vec![1u8, 2, 3]));
    Envelope { version: VERSION, from, topic: Topic::Control, body }
}

/// Numbers at and around the limits.
fn number() -> impl Strategy<Value = u32> {
    let edges = [0, 1, SHARDS_MAX, SHARDS_MAX + 1, SLOTS_MAX, SLOTS_MAX + 1, u32::MAX];
    prop_oneof![3 => proptest::sample::select(edges.to_vec()), 1 => any::<u32>()]
}

#[derive(serde::Serialize)]
struct Scored {
    id: &'static str,
    score: f64,
}

#[derive(serde::Serialize)]
struct List {
    hits: Vec<Scored>,
}

proptest! {
    #![proptest_config(config(CASES))]

    #[test]
    fn announcement_bytes(bytes in bytes(announcement().to_string().into_bytes())) {
        if let Ok(a) = serde_json::from_slice::<Announcement>(&bytes) && accepts(&a) {
            keeps_limits(&a);
        }
    }

    #[test]
    fn announcement_fields(value in object(announcement())) {
        if let Ok(a) = serde_json::from_value::<Announcement>(value) && accepts(&a) {
            keeps_limits(&a);
        }
    }

    #[test]
    fn announcement_numbers(slots in number(), connections in number(), shard in number(), shards in number()) {
        let mut a: Announcement = serde_json::from_value(announcement()).unwrap();
        (a.slots, a.connections) = (slots, connections);
        (a.holdings[0].shard, a.holdings[0].shards) = (shard, shards);
        let allowed = (1..=SLOTS_MAX).contains(&slots)
            && (1..=SLOTS_MAX).contains(&connections)
            && shard < shards
            && shards <= SHARDS_MAX;
        prop_assert_eq!(accepts(&a), allowed);
    }

    #[test]
    fn message_versions(version in prop_oneof![Just(0), Just(VERSION), Just(VERSION + 1), any::<u16>()]) {
        let sent = Envelope { version, ..envelope() };
        let read = Envelope::read(&encode(&sent));
        prop_assert_eq!(read, if version == VERSION { Ok(sent) } else { Err(DecodeError::Version(version)) });
        let sent = Hello { version, ..hello() };
        let read = Hello::read(&encode(&sent));
        prop_assert_eq!(read, if version == VERSION { Ok(sent) } else { Err(DecodeError::Version(version)) });
    }

    #[test]
    fn scores(score in prop_oneof![any::<f64>(), Just(f64::NAN), Just(f64::INFINITY)]) {
        let read = decode::<Hits>(&encode(&List { hits: vec![Scored { id: "a", score }] }));
        prop_assert_eq!(read.is_ok(), score.is_finite());
    }

    #[test]
    fn announcement_between_hosts(bytes in bytes(encode(
        &serde_json::from_value::<Announcement>(announcement()).unwrap()))) {
        if let Ok(a) = decode::<Announcement>(&bytes) && accepts(&a) {
            keeps_limits(&a);
        }
    }

    #[test]
    fn hits(bytes in bytes(br#"{"hits":[{"id":"a","score":1.5},{"id":"b","score":2e9}],"x":[]}"#.to_vec())) {
        if let Ok(Hits(list)) = serde_json::from_slice::<Hits>(&bytes) {
            prop_assert!(list.len() <= HITS_MAX);
            prop_assert!(list.iter().all(|h| h.score.is_finite()));
        }
    }

    #[test]
    fn document(bytes in bytes(DOCUMENT.as_bytes().to_vec())) {
        let text = String::from_utf8_lossy(&bytes);
        match Document::parse(&text) {
            Ok(doc) => {
                prop_assert!(doc.hosts.len() <= HOSTS_MAX);
                for h in &doc.hosts {
                    prop_assert!(doc.zone(&h.zone).is_some());
                }
                prop_assert_eq!(Document::parse(&doc.render()), Ok(doc));
            }
            Err(fault) => prop_assert!(!fault.is_empty()),
        }
    }

    #[test]
    fn edit(bytes in bytes(br#"{"id":"1","base":3,"text":"[rules]\nadmit = \"any\""}"#.to_vec())) {
        let _ = serde_json::from_slice::<Edit>(&bytes);
    }

    #[test]
    fn message_envelope(bytes in bytes(encode(&envelope()))) {
        match Envelope::read(&bytes) {
            Ok(e) => prop_assert_eq!(e.version, VERSION),
            Err(DecodeError::Version(v)) => prop_assert_ne!(v, VERSION),
            Err(DecodeError::Malformed(e)) => prop_assert!(!e.is_empty()),
        }
    }

    #[test]
    fn packed_envelope_is_read_as_it_was(words in vec("[a-d]{1,6}", 0..2_000)) {
        let sent = Envelope { body: words.join(" ").into_bytes(), ..envelope() };
        let plain = encode(&sent);
        let compressed = compress(plain.clone());
        prop_assert!(compressed.len() < plain.len() || plain.len() < COMPRESS_MIN_BYTES);
        prop_assert_eq!(Envelope::read(&compressed), Ok(sent));
    }

    #[test]
    fn packed_envelope(bytes in bytes(compress(encode(&Envelope { body: vec![7; 2_000], ..envelope() })))) {
        match Envelope::read(&bytes) {
            Ok(e) => prop_assert_eq!(e.version, VERSION),
            Err(DecodeError::Version(v)) => prop_assert_ne!(v, VERSION),
            Err(DecodeError::Malformed(e)) => prop_assert!(!e.is_empty()),
        }
    }

    #[test]
    fn message_hello(bytes in bytes(encode(&hello()))) {
        match Hello::read(&bytes) {
            Ok(h) => prop_assert_eq!(h.version, VERSION),
            Err(DecodeError::Version(v)) => prop_assert_ne!(v, VERSION),
            Err(DecodeError::Malformed(e)) => prop_assert!(!e.is_empty()),
        }
    }

    #[test]
    fn message_answer(bytes in vec(any::<u8>(), 0..300)) {
        if let Ok(answer) = Answer::read(&bytes) {
            prop_assert_eq!(Answer::read(&answer.write()), Ok(answer));
        }
    }

    #[test]
    fn refusal_of_a_host(bytes in bytes(
        br#"{"verdict":"not-run","reason":"conflict","detail":"revision 3"}"#.to_vec())) {
        let _ = serde_json::from_slice::<Refusal>(&bytes);
    }

    #[test]
    fn names(name in ".{0,80}") {
        let allowed = check_name("name", &name).is_ok();
        prop_assert!(!allowed || (1..=NAME_MAX_BYTES).contains(&name.len()));
        prop_assert_eq!(Verdict::parse(&name).map(Verdict::name), Verdict::parse(&name).map(|_| name.as_str()));
    }
}

/// A list nested so deep that a parser which recurses without a limit ends the process.
fn nested(open: &str, close: &str) -> Vec<u8> {
    (open.repeat(DEEP) + &close.repeat(DEEP)).into_bytes()
}

#[test]
fn deep_nesting_is_refused() {
    let lists = nested("[", "]");
    let objects = nested("{\"hits\":", "}");
    for json in [&lists, &objects] {
        assert!(serde_json::from_slice::<Announcement>(json).is_err());
        assert!(serde_json::from_slice::<Edit>(json).is_err());
        assert!(serde_json::from_slice::<Hits>(json).is_err());
    }
    let toml = String::from_utf8(nested("a=[", "]")).unwrap();
    assert!(Document::parse(&toml).is_err());
    let tables = format!("[{}]", vec!["a"; DEEP].join("."));
    assert!(Document::parse(&tables).is_err());
    // One-element arrays and maps of MessagePack.
    for tag in [0x91u8, 0x81] {
        assert!(Envelope::read(&vec![tag; DEEP]).is_err());
        assert!(Hello::read(&vec![tag; DEEP]).is_err());
    }
}

#[test]
fn ignored_fields_may_nest_without_end_or_are_refused() {
    let deep = String::from_utf8(nested("[", "]")).unwrap();
    let text = format!("{{\"hits\":[],\"x\":{deep}}}");
    let read = catch_unwind(AssertUnwindSafe(|| serde_json::from_str::<Hits>(&text).is_ok()));
    assert!(read.is_ok());
}

#[test]
fn lengths_that_lie_are_refused_without_room_for_them() {
    // Arrays, maps, strings and bytes of MessagePack that claim 4 GiB.
    for tag in [0xddu8, 0xdf, 0xdb, 0xc6] {
        let claim = [tag, 0xff, 0xff, 0xff, 0xff, 1, 2, 3];
        assert!(Envelope::read(&claim).is_err());
        assert!(Hello::read(&claim).is_err());
        assert!(decode::<Vec<Announcement>>(&claim).is_err());
    }
}

#[test]
fn limits_refuse_one_more_and_take_the_last() {
    let hits = |n: usize| {
        let one = json!({"id": "a", "score": 1.0});
        serde_json::from_value::<Hits>(json!({"hits": vec![one; n]}))
    };
    assert!(hits(HITS_MAX).is_ok() && hits(HITS_MAX + 1).is_err());
    let holdings = |n: usize| {
        let mut a: Announcement = serde_json::from_value(announcement()).unwrap();
        a.holdings = vec![a.holdings[0].clone(); n];
        a.check()
    };
    assert!(holdings(HOLDINGS_MAX).is_ok() && holdings(HOLDINGS_MAX + 1).is_err());
    assert!(check_name("name", &"x".repeat(NAME_MAX_BYTES)).is_ok());
    assert!(check_name("name", &"x".repeat(NAME_MAX_BYTES + 1)).is_err());
    let document = |n: usize| Document::parse(&format!("#{}", "x".repeat(n - 1)));
    assert!(document(DOCUMENT_MAX_BYTES).is_ok() && document(DOCUMENT_MAX_BYTES + 1).is_err());
    let hosts = |n: usize| {
        let host = |i| format!("[[host]]\nname = \"h{i}\"\nzone = \"n\"\n");
        let hosts: String = (0..n).map(host).collect();
        Document::parse(&format!("[[zone]]\nname = \"n\"\n{hosts}"))
    };
    assert!(hosts(HOSTS_MAX).is_ok() && hosts(HOSTS_MAX + 1).is_err());
}
