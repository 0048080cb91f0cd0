//! The messages that wait for one destination, in the order of acceptance, with an index for long queues.
//!
//! Messages of one class that were never tried, and are all within or all beyond their tenant's quota, differ
//! in nothing but their age. Their value goes through a few stages as they grow older, and within a stage it
//! only rises, only falls or stays: the best message of a stage is its oldest, its youngest or, where the
//! value stays, the first in the queue. The index keeps these apart, so that a choice compares a few messages
//! and not the whole queue. Messages that may have run, or that are ordered, are compared one by one.
//!
//! The index is derived: it is rebuilt from the messages when needed and is not part of a hand-over. It
//! decides nothing: comparing all messages of the queue leads to the same choice.

use super::VALUE_STAGES;
use crate::model::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A queue of more messages than this gets an index.
const INDEX_ABOVE_LENGTH: usize = 64;
/// A queue that has an index loses it when it has no more messages than this.
const NO_INDEX_UP_TO_LENGTH: usize = 32;
/// Stages that the value of a message goes through at most.
pub const STAGES: usize = 2 * VALUE_STAGES - 1;

/// Position of a message in its queue; grows from message to message.
pub type Seq = u64;

/// Messages that differ in nothing but their age.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageGroup {
    /// Their class.
    pub class: ClassId,
    /// Whether they are beyond their tenant's quota.
    pub over_quota: bool,
}

/// State of a message in its queue.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum QueueState {
    /// A call carries it: it is no candidate.
    InFlight,
    /// It is compared on its own.
    Individual,
    /// One of a group that differs in its age alone. It may not be sent before `not_before`.
    Grouped { group: MessageGroup, enqueued_at: Time, not_before: Time },
}

/// The messages of one destination that have no final outcome yet.
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

    /// All messages, in order.
    pub fn ids(&self) -> impl Iterator<Item = MessageId> + '_ {
        self.order.values().copied()
    }

    pub fn push(&mut self, seq: Seq, id: MessageId, queue_state: QueueState) {
        self.order.insert(seq, id);
        self.set_queue_state(seq, queue_state);
    }

    pub fn remove(&mut self, seq: Seq) {
        self.order.remove(&seq);
        if let Some(index) = &mut self.index {
            index.remove(seq);
        }
    }

    /// Sets the state of a message.
    pub fn set_queue_state(&mut self, seq: Seq, queue_state: QueueState) {
        if let Some((index, id)) = self.index.as_mut().zip(self.order.get(&seq)) {
            index.remove(seq);
            index.insert(seq, *id, queue_state);
        }
    }

    /// Takes out the index of a long queue; the caller gives it back. It is built where there is none yet,
    /// with `queue_state` for the state of each message.
    pub fn take_index(&mut self, queue_state: impl Fn(MessageId) -> QueueState) -> Option<Box<Index>> {
        if self.len() <= if self.index.is_some() { NO_INDEX_UP_TO_LENGTH } else { INDEX_ABOVE_LENGTH } {
            self.index = None;
        } else if self.index.is_none() {
            let mut index = Box::<Index>::default();
            self.order.iter().for_each(|(seq, id)| index.insert(*seq, *id, queue_state(*id)));
            return Some(index);
        }
        self.index.take()
    }

    pub fn give_back(&mut self, index: Box<Index>) {
        self.index = Some(index);
    }
}

/// Where the index of a long queue holds each message.
#[derive(Default)]
pub struct Index {
    all: BTreeMap<Seq, (MessageId, Location)>,
    apart: BTreeSet<Seq>,
    later: BTreeSet<(Time, Seq)>,
    groups: BTreeMap<MessageGroup, [Stage; STAGES]>,
}

#[derive(Clone, Copy)]
enum Location {
    Nowhere,
    Individual,
    Later { group: MessageGroup, enqueued_at: Time, not_before: Time },
    Stage { group: MessageGroup, stage: usize, enqueued_at: Time },
}

#[derive(Default)]
struct Stage {
    by_age: BTreeSet<(Time, Seq)>,
    by_place: BTreeSet<Seq>,
}

impl Stage {
    /// The oldest, the youngest and the first message; of several of the same age, the first of them.
    fn ends(&self) -> impl Iterator<Item = Seq> + '_ {
        let youngest =
            self.by_age.last().and_then(|(enqueued_at, _)| self.by_age.range((*enqueued_at, 0)..).next());
        let ends = [self.by_age.first(), youngest].into_iter().flatten().map(|(_, seq)| *seq);
        ends.chain(self.by_place.first().copied())
    }
}

impl Index {
    fn insert(&mut self, seq: Seq, id: MessageId, queue_state: QueueState) {
        let location = match queue_state {
            QueueState::InFlight => Location::Nowhere,
            QueueState::Individual => {
                self.apart.insert(seq);
                Location::Individual
            }
            QueueState::Grouped { group, enqueued_at, not_before } => {
                self.later.insert((not_before, seq));
                Location::Later { group, enqueued_at, not_before }
            }
        };
        self.all.insert(seq, (id, location));
    }

    fn remove(&mut self, seq: Seq) {
        match self.all.remove(&seq) {
            Some((_, Location::Individual)) => drop(self.apart.remove(&seq)),
            Some((_, Location::Later { not_before, .. })) => drop(self.later.remove(&(not_before, seq))),
            Some((_, Location::Stage { group, stage, enqueued_at })) => {
                self.leave(seq, group, stage, enqueued_at)
            }
            Some((_, Location::Nowhere)) | None => {}
        }
    }

    fn leave(&mut self, seq: Seq, group: MessageGroup, stage: usize, enqueued_at: Time) {
        if let Some(stages) = self.groups.get_mut(&group) {
            stages[stage].by_age.remove(&(enqueued_at, seq));
            stages[stage].by_place.remove(&seq);
        }
    }

    fn enter(&mut self, seq: Seq, group: MessageGroup, stage: usize, enqueued_at: Time) {
        let entered = &mut self.groups.entry(group).or_default()[stage];
        entered.by_age.insert((enqueued_at, seq));
        entered.by_place.insert(seq);
        if let Some((_, location)) = self.all.get_mut(&seq) {
            *location = Location::Stage { group, stage, enqueued_at };
        }
    }

    /// Moves each message to the stage that it has reached by now. Stages only grow with age.
    pub fn advance(&mut self, now: Time, stage_of: impl Fn(MessageGroup, Time) -> usize) {
        while let Some((_, seq)) = self.later.first().filter(|(at, _)| *at <= now).copied() {
            self.later.pop_first();
            if let Some((_, Location::Later { group, enqueued_at, .. })) = self.all.get(&seq).copied() {
                self.enter(seq, group, stage_of(group, enqueued_at).min(STAGES - 1), enqueued_at);
            }
        }
        for group in self.groups.keys().copied().collect::<Vec<_>>() {
            for stage in 0..STAGES - 1 {
                while let Some((enqueued_at, seq)) = self.groups[&group][stage].by_age.first().copied() {
                    let reached = stage_of(group, enqueued_at).min(STAGES - 1);
                    if reached <= stage {
                        break;
                    }
                    self.leave(seq, group, stage, enqueued_at);
                    self.enter(seq, group, reached, enqueued_at);
                }
            }
        }
    }

    /// The messages of which one is the best now, in the order of the queue, and the first that may be sent
    /// later. Of groups for which `go_through` holds, all messages.
    pub fn candidates(&self, go_through: impl Fn(MessageGroup) -> bool) -> Vec<MessageId> {
        let mut found: BTreeSet<Seq> = self.apart.clone();
        found.extend(self.later.first().map(|(_, seq)| *seq));
        for (group, stages) in &self.groups {
            for stage in stages {
                if go_through(*group) {
                    found.extend(&stage.by_place);
                } else {
                    found.extend(stage.ends());
                }
            }
        }
        found.iter().filter_map(|seq| self.all.get(seq)).map(|(id, _)| *id).collect()
    }
}
