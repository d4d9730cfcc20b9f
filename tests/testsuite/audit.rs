use wisteriahead::core::control::audit::{Asked, AuditEntry, Trail, check};

fn asked(id: u32) -> Asked {
    Asked { operator: "ann".into(), id: format!("c{id}"), what: "inventory".into(), base: 3 }
}

fn trail(n: u32) -> Trail {
    let mut trail = Trail::default();
    (0..n).for_each(|i| trail.note(u64::from(i), asked(i), 4, "accepted".into()));
    trail
}

fn broken(alter: impl FnOnce(&mut Vec<AuditEntry>)) -> String {
    let mut entries = trail(5).after(0, 10);
    let before = (0, String::new());
    check(&before, &entries).unwrap();
    alter(&mut entries);
    check(&before, &entries).unwrap_err().to_string()
}

#[test]
fn any_alteration_breaks_the_chain() {
    assert!(broken(|e| e[2].asked.operator = "bob".into()).contains("entry 3"));
    assert!(broken(|e| e[2].time_ms += 1).contains("entry 3"));
    assert!(broken(|e| e[1].result = "refused".into()).contains("entry 2"));
    assert!(broken(|e| e[1].revision = 9).contains("entry 2"));
    assert!(broken(|e| drop(e.remove(1))).contains("entry 3"));
    assert!(broken(|e| e.swap(1, 2)).contains("entry 3"));
    assert!(broken(|e| drop(e.remove(0))).contains("entry 2"));
}

#[test]
fn pages_follow_each_other() {
    let trail = trail(5);
    let first = trail.after(0, 2);
    let next = trail.after(first[1].seq, 2);
    assert_eq!(next.iter().map(|e| e.seq).collect::<Vec<_>>(), [3, 4]);
    check(&(first[1].seq, first[1].hash.clone()), &next).unwrap();
}
