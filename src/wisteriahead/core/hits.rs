//! Search hits and the merge of the hits of all shards.
//!
//! Hits are decoded on the hot path: one answer is merged from 190 lists. The visitors are written
//! by hand to skip unknown fields without building them, and to check the length of a list while it
//! is read.

use serde::de::{Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::fmt;

/// Maximum number of hits accepted from one shard.
pub const HITS_MAX: usize = 1_000;

/// A search hit.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Hit {
    /// Identifier of the matching item.
    pub id: String,
    /// Score; higher scores come first. Always finite.
    pub score: f64,
    /// Index of the shard that found it.
    pub shard: u32,
}

/// The hits of one shard, in the order in which the endpoint sent them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Hits(pub Vec<Hit>);

impl Hit {
    /// Order of hits in an answer: by descending score, then by identifier, then by shard.
    pub fn rank(&self, other: &Self) -> Ordering {
        other
            .score
            .total_cmp(&self.score)
            .then_with(|| self.id.cmp(&other.id))
            .then_with(|| self.shard.cmp(&other.shard))
    }
}

/// Merges the hits of all shards and keeps the best `limit`, in order.
pub fn merge(parts: impl IntoIterator<Item = Hits>, limit: usize) -> Vec<Hit> {
    let mut all: Vec<Hit> = parts.into_iter().flat_map(|h| h.0).collect();
    if all.len() > limit && limit > 0 {
        all.select_nth_unstable_by(limit - 1, Hit::rank);
        all.truncate(limit);
    }
    all.sort_unstable_by(Hit::rank);
    all.truncate(limit);
    all
}

struct HitVisitor;

impl<'de> Visitor<'de> for HitVisitor {
    type Value = Hit;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a hit with `id` and `score`")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Hit, A::Error> {
        let (mut id, mut score) = (None, None);
        while let Some(key) = map.next_key::<std::borrow::Cow<'de, str>>()? {
            match key.as_ref() {
                "id" => id = Some(map.next_value()?),
                "score" => score = Some(map.next_value::<f64>()?),
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        let id = id.ok_or_else(|| A::Error::missing_field("id"))?;
        let score = score.ok_or_else(|| A::Error::missing_field("score"))?;
        if !score.is_finite() {
            return Err(A::Error::custom("`score` is not a finite number"));
        }
        Ok(Hit { id, score, shard: 0 })
    }
}

impl<'de> Deserialize<'de> for Hit {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_map(HitVisitor)
    }
}

struct HitListVisitor;

impl<'de> Visitor<'de> for HitListVisitor {
    type Value = Vec<Hit>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at most {HITS_MAX} hits")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Vec<Hit>, A::Error> {
        let mut list = Vec::new();
        while let Some(hit) = seq.next_element()? {
            if list.len() == HITS_MAX {
                return Err(A::Error::invalid_length(HITS_MAX + 1, &self));
            }
            list.push(hit);
        }
        Ok(list)
    }
}

struct HitList(Vec<Hit>);

impl<'de> Deserialize<'de> for HitList {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_seq(HitListVisitor).map(Self)
    }
}

struct HitsVisitor;

impl<'de> Visitor<'de> for HitsVisitor {
    type Value = Hits;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object with `hits`")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Hits, A::Error> {
        let mut hits = None;
        while let Some(key) = map.next_key::<std::borrow::Cow<'de, str>>()? {
            match key.as_ref() {
                "hits" => hits = Some(map.next_value::<HitList>()?.0),
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        hits.map(Hits).ok_or_else(|| A::Error::missing_field("hits"))
    }
}

impl<'de> Deserialize<'de> for Hits {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_map(HitsVisitor)
    }
}
