//! The messages that wait for one destination, in the order in which they were taken. A long queue has an index, so
//! that a look at it does not go through all: it decides nothing, but leaves out what cannot be the best message by
//! a wide margin, and whoever looks at all of the queue finds the same one. The index is never passed on, and is made
//! anew from the messages at need.
//!
//! Messages of one class that were never tried, and are all inside or all beyond their tenant's share, differ in
//! nothing but their age. How their worth goes by age has few stages, inside each of which it only rises, only falls
//! or stays: the best of a stage is its oldest, its youngest or, where it stays, the first in the queue. Those that
//! may have run, or go in order, are looked at one by one.

use super::VALUE_STAGES;
use crate::model::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A longer queue gets an index ...
const LONG: usize = 64;
/// ... which it loses when it is no longer than this.
const SHORT: usize = 32;
/// Stages that the worth of a message goes through at most.
pub const STAGES: usize = 2 * VALUE_STAGES - 1;

/// The place of a message in its queue; grows from message to message.
pub type Seq = u64;

/// Messages that differ in nothing but their age: class, and whether beyond their tenant's share.
pub type Lane = (ClassId, bool);

/// How a message stands in its queue.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// A call carries it.
    Out,
    /// It is looked at for itself.
    Apart,
    /// One of many that differ in their age alone, by when it was born; not to be sent before some time.
    Among { lane: Lane, born: Time, not_before: Time },
}

/// The messages of one destination that are not answered.
#[derive(Default, Serialize, Deserialize)]
pub struct Queue {
    order: BTreeMap<Seq, MessageId>,
    #[serde(skip)]
    index: Option<Box<Index>>,
}

impl Queue {
    pub fn len(&self) -> usize {
        self.order.len()
    }

    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// All of it, in order.
    pub fn ids(&self) -> impl Iterator<Item = MessageId> + '_ {
        self.order.values().copied()
    }

    pub fn push(&mut self, seq: Seq, id: MessageId, standing: Standing) {
        self.order.insert(seq, id);
        self.stands(seq, standing);
    }

    pub fn remove(&mut self, seq: Seq) {
        self.order.remove(&seq);
        if let Some(index) = &mut self.index {
            index.remove(seq);
        }
    }

    /// Says how a message stands from now on.
    pub fn stands(&mut self, seq: Seq, standing: Standing) {
        if let Some((index, id)) = self.index.as_mut().zip(self.order.get(&seq)) {
            index.remove(seq);
            index.insert(seq, *id, standing);
        }
    }

    /// The index of a long queue, to be given back; `standing` tells how a message stands, if there is none yet.
    pub fn take_index(&mut self, standing: impl Fn(MessageId) -> Standing) -> Option<Box<Index>> {
        if self.len() <= if self.index.is_some() { SHORT } else { LONG } {
            self.index = None;
        } else if self.index.is_none() {
            let mut index = Box::<Index>::default();
            self.order.iter().for_each(|(seq, id)| index.insert(*seq, *id, standing(*id)));
            return Some(index);
        }
        self.index.take()
    }

    pub fn give_back(&mut self, index: Box<Index>) {
        self.index = Some(index);
    }
}

/// Where each message of a long queue is kept.
#[derive(Default)]
pub struct Index {
    all: BTreeMap<Seq, (MessageId, Kept)>,
    apart: BTreeSet<Seq>,
    later: BTreeSet<(Time, Seq)>,
    lanes: BTreeMap<Lane, [Stage; STAGES]>,
}

#[derive(Clone, Copy)]
enum Kept {
    Nowhere,
    Apart,
    Later { lane: Lane, born: Time, not_before: Time },
    Stage { lane: Lane, stage: usize, born: Time },
}

#[derive(Default)]
struct Stage {
    by_age: BTreeSet<(Time, Seq)>,
    by_place: BTreeSet<Seq>,
}

impl Stage {
    /// The oldest, the youngest and the first; of several that are as old, the first of them.
    fn ends(&self) -> impl Iterator<Item = Seq> + '_ {
        let youngest = self.by_age.last().and_then(|(born, _)| self.by_age.range((*born, 0)..).next());
        let ends = [self.by_age.first(), youngest].into_iter().flatten().map(|(_, seq)| *seq);
        ends.chain(self.by_place.first().copied())
    }
}

impl Index {
    fn insert(&mut self, seq: Seq, id: MessageId, standing: Standing) {
        let kept = match standing {
            Standing::Out => Kept::Nowhere,
            Standing::Apart => {
                self.apart.insert(seq);
                Kept::Apart
            }
            Standing::Among { lane, born, not_before } => {
                self.later.insert((not_before, seq));
                Kept::Later { lane, born, not_before }
            }
        };
        self.all.insert(seq, (id, kept));
    }

    fn remove(&mut self, seq: Seq) {
        match self.all.remove(&seq) {
            Some((_, Kept::Apart)) => drop(self.apart.remove(&seq)),
            Some((_, Kept::Later { not_before, .. })) => drop(self.later.remove(&(not_before, seq))),
            Some((_, Kept::Stage { lane, stage, born })) => self.leave(seq, lane, stage, born),
            Some((_, Kept::Nowhere)) | None => {}
        }
    }

    fn leave(&mut self, seq: Seq, lane: Lane, stage: usize, born: Time) {
        if let Some(stages) = self.lanes.get_mut(&lane) {
            stages[stage].by_age.remove(&(born, seq));
            stages[stage].by_place.remove(&seq);
        }
    }

    fn enter(&mut self, seq: Seq, lane: Lane, stage: usize, born: Time) {
        let entered = &mut self.lanes.entry(lane).or_default()[stage];
        entered.by_age.insert((born, seq));
        entered.by_place.insert(seq);
        if let Some((_, kept)) = self.all.get_mut(&seq) {
            *kept = Kept::Stage { lane, stage, born };
        }
    }

    /// Moves each message on to the stage that it is in by now. Stages only grow with age.
    pub fn advance(&mut self, now: Time, stage_of: impl Fn(Lane, Time) -> usize) {
        while let Some((_, seq)) = self.later.first().filter(|(at, _)| *at <= now).copied() {
            self.later.pop_first();
            if let Some((_, Kept::Later { lane, born, .. })) = self.all.get(&seq).copied() {
                self.enter(seq, lane, stage_of(lane, born).min(STAGES - 1), born);
            }
        }
        for lane in self.lanes.keys().copied().collect::<Vec<_>>() {
            for stage in 0..STAGES - 1 {
                while let Some((born, seq)) = self.lanes[&lane][stage].by_age.first().copied() {
                    let reached = stage_of(lane, born).min(STAGES - 1);
                    if reached <= stage {
                        break;
                    }
                    self.leave(seq, lane, stage, born);
                    self.enter(seq, lane, reached, born);
                }
            }
        }
    }

    /// The messages of which one is the best now, in the order of the queue, and the first that may be sent later.
    /// Of lanes that are to be gone through, all.
    pub fn candidates(&self, go_through: impl Fn(Lane) -> bool) -> Vec<MessageId> {
        let mut found: BTreeSet<Seq> = self.apart.clone();
        found.extend(self.later.first().map(|(_, seq)| *seq));
        for (lane, stages) in &self.lanes {
            for stage in stages {
                if go_through(*lane) {
                    found.extend(&stage.by_place);
                } else {
                    found.extend(stage.ends());
                }
            }
        }
        found.iter().filter_map(|seq| self.all.get(seq)).map(|(id, _)| *id).collect()
    }
}
