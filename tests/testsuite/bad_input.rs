//! All parsers of external input, with random bytes and with valid messages of which a few bytes
//! or fields are changed. None may panic, and accepted input is within its limits.

use bytes::BytesMut;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use serde_json::{Value, json};
use std::panic::{AssertUnwindSafe, catch_unwind};
use tokio_util::codec::Decoder as _;
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
use wisteriahead::services::peers::wire::{Answer, Contact, Frame, FrameDecoder, Hello};

const CASES: u32 = 2_000;
/// Nesting depth at which a parser without a recursion limit overflows the stack.
const DEPTH: usize = 200_000;

/// A change to valid bytes.
#[derive(Clone, Debug)]
enum Mutation {
    Set(Index, u8),
    Cut(Index),
    Insert(Index, Vec<u8>),
    Repeat(Index, u16),
}

fn mutation() -> impl Strategy<Value = Mutation> {
    prop_oneof![
        (any::<Index>(), any::<u8>()).prop_map(|(at, b)| Mutation::Set(at, b)),
        any::<Index>().prop_map(Mutation::Cut),
        (any::<Index>(), vec(any::<u8>(), 1..8)).prop_map(|(at, b)| Mutation::Insert(at, b)),
        (any::<Index>(), 1..500u16).prop_map(|(at, n)| Mutation::Repeat(at, n)),
    ]
}

fn mutated(valid: &[u8], mutations: &[Mutation]) -> Vec<u8> {
    let mut bytes = valid.to_vec();
    for mutation in mutations {
        if bytes.is_empty() {
            break;
        }
        match mutation {
            Mutation::Set(at, b) => {
                let at = at.index(bytes.len());
                bytes[at] = *b;
            }
            Mutation::Cut(at) => bytes.truncate(at.index(bytes.len())),
            Mutation::Insert(at, new) => {
                let at = at.index(bytes.len());
                bytes.splice(at..at, new.iter().copied());
            }
            Mutation::Repeat(at, n) => {
                let at = at.index(bytes.len());
                let one = bytes[at];
                bytes.splice(at..at, std::iter::repeat_n(one, usize::from(*n)));
            }
        }
    }
    bytes
}

/// Random bytes, or valid bytes with a few mutations.
fn any_bytes(valid: Vec<u8>) -> impl Strategy<Value = Vec<u8>> {
    let mutated = vec(mutation(), 0..4).prop_map(move |m| mutated(&valid, &m));
    prop_oneof![1 => vec(any::<u8>(), 0..300), 3 => mutated]
}

/// Any JSON value, with extreme ones more likely.
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

/// A valid object with a few fields replaced or removed.
fn changed_object(valid: Value) -> impl Strategy<Value = Value> {
    let fields: Vec<String> = valid.as_object().unwrap().keys().cloned().collect();
    vec((any::<Index>(), proptest::option::of(value())), 0..3).prop_map(move |changes| {
        let mut changed = valid.clone();
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

fn is_valid(a: &Announcement) -> bool {
    a.check().is_ok()
}

/// Checks that an accepted announcement is within its limits.
fn check_limits(a: &Announcement) {
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
    Hello {
        version: VERSION,
        name,
        zone: "north".to_owned(),
        listen,
        others,
        unpacks: false,
        clock: None,
    }
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
struct ScoredHit {
    id: &'static str,
    score: f64,
}

#[derive(serde::Serialize)]
struct HitList {
    hits: Vec<ScoredHit>,
}

proptest! {
    #![proptest_config(config(CASES))]

    #[test]
    fn accepted_announcement_bytes_are_within_limits(bytes in any_bytes(announcement().to_string().into_bytes())) {
        if let Ok(a) = serde_json::from_slice::<Announcement>(&bytes) && is_valid(&a) {
            check_limits(&a);
        }
    }

    #[test]
    fn accepted_announcement_fields_are_within_limits(value in changed_object(announcement())) {
        if let Ok(a) = serde_json::from_value::<Announcement>(value) && is_valid(&a) {
            check_limits(&a);
        }
    }

    #[test]
    fn announcement_numbers_are_checked_against_their_limits(slots in number(), connections in number(), shard in number(), shards in number()) {
        let mut a: Announcement = serde_json::from_value(announcement()).unwrap();
        (a.slots, a.connections) = (slots, connections);
        (a.holdings[0].shard, a.holdings[0].shards) = (shard, shards);
        let allowed = (1..=SLOTS_MAX).contains(&slots)
            && (1..=SLOTS_MAX).contains(&connections)
            && shard < shards
            && shards <= SHARDS_MAX;
        prop_assert_eq!(is_valid(&a), allowed);
    }

    #[test]
    fn messages_of_other_versions_are_rejected(version in prop_oneof![Just(0), Just(VERSION), Just(VERSION + 1), any::<u16>()]) {
        let sent = Envelope { version, ..envelope() };
        let read = Envelope::read(&encode(&sent));
        prop_assert_eq!(read, if version == VERSION { Ok(sent) } else { Err(DecodeError::Version(version)) });
        let sent = Hello { version, ..hello() };
        let read = Hello::read(&encode(&sent));
        prop_assert_eq!(read, if version == VERSION { Ok(sent) } else { Err(DecodeError::Version(version)) });
    }

    #[test]
    fn scores_that_are_not_finite_are_rejected(score in prop_oneof![any::<f64>(), Just(f64::NAN), Just(f64::INFINITY)]) {
        let read = decode::<Hits>(&encode(&HitList { hits: vec![ScoredHit { id: "a", score }] }));
        prop_assert_eq!(read.is_ok(), score.is_finite());
    }

    #[test]
    fn accepted_announcements_between_hosts_are_within_limits(bytes in any_bytes(encode(
        &serde_json::from_value::<Announcement>(announcement()).unwrap()))) {
        if let Ok(a) = decode::<Announcement>(&bytes) && is_valid(&a) {
            check_limits(&a);
        }
    }

    #[test]
    fn accepted_hits_are_within_limits(bytes in any_bytes(br#"{"hits":[{"id":"a","score":1.5},{"id":"b","score":2e9}],"x":[]}"#.to_vec())) {
        if let Ok(Hits(list)) = serde_json::from_slice::<Hits>(&bytes) {
            prop_assert!(list.len() <= HITS_MAX);
            prop_assert!(list.iter().all(|h| h.score.is_finite()));
        }
    }

    #[test]
    fn accepted_document_is_within_limits_and_survives_rendering(bytes in any_bytes(DOCUMENT.as_bytes().to_vec())) {
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
    fn edit_parser_does_not_panic(bytes in any_bytes(br#"{"id":"1","base":3,"text":"[rules]\nadmit = \"any\""}"#.to_vec())) {
        let _ = serde_json::from_slice::<Edit>(&bytes);
    }

    #[test]
    fn envelope_is_read_or_rejected(bytes in any_bytes(encode(&envelope()))) {
        match Envelope::read(&bytes) {
            Ok(e) => prop_assert_eq!(e.version, VERSION),
            Err(DecodeError::Version(v)) => prop_assert_ne!(v, VERSION),
            Err(DecodeError::Malformed(e)) => prop_assert!(!e.is_empty()),
        }
    }

    #[test]
    fn compressed_envelope_is_read_unchanged(words in vec("[a-d]{1,6}", 0..2_000)) {
        let sent = Envelope { body: words.join(" ").into_bytes(), ..envelope() };
        let plain = encode(&sent);
        let compressed = compress(plain.clone());
        prop_assert!(compressed.len() < plain.len() || plain.len() < COMPRESS_MIN_BYTES);
        prop_assert_eq!(Envelope::read(&compressed), Ok(sent));
    }

    #[test]
    fn compressed_envelope_is_read_or_rejected(bytes in any_bytes(compress(encode(&Envelope { body: vec![7; 2_000], ..envelope() })))) {
        match Envelope::read(&bytes) {
            Ok(e) => prop_assert_eq!(e.version, VERSION),
            Err(DecodeError::Version(v)) => prop_assert_ne!(v, VERSION),
            Err(DecodeError::Malformed(e)) => prop_assert!(!e.is_empty()),
        }
    }

    #[test]
    fn hello_is_read_or_rejected(bytes in any_bytes(encode(&hello()))) {
        match Hello::read(&bytes) {
            Ok(h) => prop_assert_eq!(h.version, VERSION),
            Err(DecodeError::Version(v)) => prop_assert_ne!(v, VERSION),
            Err(DecodeError::Malformed(e)) => prop_assert!(!e.is_empty()),
        }
    }

    #[test]
    fn accepted_answer_survives_encoding(number: u64, bytes in vec(any::<u8>(), 0..300)) {
        if let Ok(answer) = Answer::read(&bytes) {
            let frame = Frame::Answer(number, answer);
            prop_assert_eq!(read_frames(&written(&frame)).unwrap(), vec![frame]);
        }
    }

    #[test]
    fn frames_are_read_or_rejected(frames in vec(vec(any::<u8>(), 0..40), 0..5), cut: u8) {
        let mut bytes = Vec::new();
        for frame in &frames {
            bytes.extend((frame.len() as u32).to_be_bytes());
            bytes.extend(frame);
        }
        bytes.truncate(bytes.len().saturating_sub(usize::from(cut % 8)));
        if let Ok(read) = read_frames(&bytes) {
            prop_assert!(read.len() <= frames.len());
            let again: Vec<u8> = read.iter().flat_map(written).collect();
            prop_assert_eq!(read_frames(&again).unwrap(), read);
        }
    }

    #[test]
    fn refusal_parser_does_not_panic(bytes in any_bytes(
        br#"{"verdict":"not-run","reason":"conflict","detail":"revision 3"}"#.to_vec())) {
        let _ = serde_json::from_slice::<Refusal>(&bytes);
    }

    #[test]
    fn names_are_limited_and_verdicts_parse_only_from_their_names(name in ".{0,80}") {
        let allowed = check_name("name", &name).is_ok();
        prop_assert!(!allowed || (1..=NAME_MAX_BYTES).contains(&name.len()));
        prop_assert_eq!(Verdict::parse(&name).map(Verdict::name), Verdict::parse(&name).map(|_| name.as_str()));
    }
}

/// A frame as it is written to a connection.
fn written(frame: &Frame) -> Vec<u8> {
    let mut out = BytesMut::new();
    frame.write(&mut out);
    out.to_vec()
}

/// All complete frames of a connection.
fn read_frames(bytes: &[u8]) -> std::io::Result<Vec<Frame>> {
    let (mut decoder, mut src) = (FrameDecoder::default(), BytesMut::from(bytes));
    std::iter::from_fn(|| decoder.decode(&mut src).transpose()).collect()
}

#[test]
fn oversized_frame_is_rejected_before_it_is_read() {
    let mut decoder = FrameDecoder::default();
    let mut src = BytesMut::from(&(1u32 << 31).to_be_bytes()[..]);
    assert!(decoder.decode(&mut src).is_err());
    assert!(src.capacity() < 1 << 20, "{} bytes were reserved", src.capacity());
}

/// Input nested so deep that a parser without a recursion limit crashes the process.
fn nested(open: &str, close: &str) -> Vec<u8> {
    (open.repeat(DEPTH) + &close.repeat(DEPTH)).into_bytes()
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
    let tables = format!("[{}]", vec!["a"; DEPTH].join("."));
    assert!(Document::parse(&tables).is_err());
    // MessagePack arrays and maps of one element.
    for tag in [0x91u8, 0x81] {
        assert!(Envelope::read(&vec![tag; DEPTH]).is_err());
        assert!(Hello::read(&vec![tag; DEPTH]).is_err());
    }
}

#[test]
fn deep_nesting_in_ignored_fields_does_not_panic() {
    let deep = String::from_utf8(nested("[", "]")).unwrap();
    let text = format!("{{\"hits\":[],\"x\":{deep}}}");
    let read = catch_unwind(AssertUnwindSafe(|| serde_json::from_str::<Hits>(&text).is_ok()));
    assert!(read.is_ok());
}

#[test]
fn length_prefixes_beyond_the_input_are_rejected() {
    // MessagePack arrays, maps, strings and bytes that claim 4 Gi elements or bytes: allocating
    // for the claim would exhaust memory.
    for tag in [0xddu8, 0xdf, 0xdb, 0xc6] {
        let claim = [tag, 0xff, 0xff, 0xff, 0xff, 1, 2, 3];
        assert!(Envelope::read(&claim).is_err());
        assert!(Hello::read(&claim).is_err());
        assert!(decode::<Vec<Announcement>>(&claim).is_err());
    }
}

#[test]
fn limits_are_inclusive() {
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
