use crate::support::{Authority, ZONE};
use std::os::unix::fs::PermissionsExt;
use wisteriahead::ops::keys::{
    AUTHORITY_DAYS, HOLDER_DAYS, InitOptions, IssueOptions, init, issue,
};
use wisteriahead::util::tls::{Credentials, Kind};
use yare::parameterized;

#[parameterized(host = {Kind::Host}, operator = {Kind::Operator})]
fn certificate_carries_kind_name_and_zone(kind: Kind) {
    let ca = Authority::new();
    let paths = ca.issue(kind, "a:b.c-d_1");
    let id = Credentials::load(&paths).unwrap().identity(kind).unwrap();
    assert_eq!((id.kind, id.name.as_str()), (kind, "a:b.c-d_1"));
    assert_eq!(id.zone.as_deref(), (kind == Kind::Host).then_some(ZONE));
}

#[test]
fn private_keys_are_accessible_to_their_owner_only() {
    let ca = Authority::new();
    ca.issue(Kind::Host, "a");
    for file in ["ca.key", "a.key"] {
        let mode = ca.folder().join(file).metadata().unwrap().permissions().mode();
        assert_eq!(mode & 0o777, 0o600, "{file}");
    }
}

#[test]
fn existing_keys_are_not_overwritten() {
    let ca = Authority::new();
    let paths = ca.issue(Kind::Host, "a");
    let before = std::fs::read(&paths.key).unwrap();
    let folder = ca.folder().to_owned();
    assert!(init(&InitOptions { folder: folder.clone(), days: AUTHORITY_DAYS }).is_err());
    let duplicate = IssueOptions {
        folder,
        kind: Kind::Operator,
        name: "a".to_owned(),
        zone: None,
        days: HOLDER_DAYS,
        renew: false,
    };
    let e = format!("{:#}", issue(&duplicate).unwrap_err());
    assert!(e.contains("a.key"), "{e}");
    assert_eq!(std::fs::read(&paths.key).unwrap(), before);
}

#[parameterized(empty = {""}, path = {"../x"}, space = {"a b"}, authority = {"ca"})]
fn invalid_name_is_rejected(name: &str) {
    let ca = Authority::new();
    let folder = ca.folder().to_owned();
    let opts = IssueOptions {
        folder,
        kind: Kind::Host,
        name: name.to_owned(),
        zone: None,
        days: HOLDER_DAYS,
        renew: false,
    };
    assert!(issue(&opts).is_err());
}

#[test]
fn error_for_a_missing_authority_names_the_init_command() {
    let dir = tempfile::TempDir::new().unwrap();
    let folder = dir.path().to_owned();
    let opts = IssueOptions {
        folder,
        kind: Kind::Host,
        name: "a".to_owned(),
        zone: None,
        days: HOLDER_DAYS,
        renew: false,
    };
    let e = format!("{:#}", issue(&opts).unwrap_err());
    assert!(e.contains("keys init"), "{e}");
}
