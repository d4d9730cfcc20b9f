//! The audit trail: its hash chain and its pages.

use wisteriahead::core::control::audit::{AuditEntry, AuditTrail, ChangeRequest, verify};

fn request(id: u32) -> ChangeRequest {
    ChangeRequest {
        operator: "ann".into(),
        id: format!("c{id}"),
        what: "inventory".into(),
        base: 3,
    }
}

fn trail(n: u32) -> AuditTrail {
    let mut trail = AuditTrail::default();
    (0..n).for_each(|i| trail.append(u64::from(i), request(i), 4, "accepted".into()));
    trail
}

fn error_after(alter: impl FnOnce(&mut Vec<AuditEntry>)) -> String {
    let mut entries = trail(5).after(0, 10);
    let before = (0, String::new());
    verify(&before, &entries).unwrap();
    alter(&mut entries);
    verify(&before, &entries).unwrap_err().to_string()
}

#[test]
fn any_alteration_breaks_the_chain() {
    assert!(error_after(|e| e[2].request.operator = "bob".into()).contains("entry 3"));
    assert!(error_after(|e| e[2].time_ms += 1).contains("entry 3"));
    assert!(error_after(|e| e[1].result = "refused".into()).contains("entry 2"));
    assert!(error_after(|e| e[1].revision = 9).contains("entry 2"));
    assert!(error_after(|e| drop(e.remove(1))).contains("entry 3"));
    assert!(error_after(|e| e.swap(1, 2)).contains("entry 3"));
    assert!(error_after(|e| drop(e.remove(0))).contains("entry 2"));
}

#[test]
fn next_page_continues_the_chain() {
    let trail = trail(5);
    let first = trail.after(0, 2);
    let next = trail.after(first[1].seq, 2);
    assert_eq!(next.iter().map(|e| e.seq).collect::<Vec<_>>(), [3, 4]);
    verify(&(first[1].seq, first[1].hash.clone()), &next).unwrap();
}
