//! The queue of one destination, in the order of acceptance, with an index for long queues.
//!
//! Unordered messages of one class for which no attempt may have run, and which are all within or all over
//! their tenant's quota, differ only in their age. Their value goes through a few stages as they grow older,
//! and within a stage it only rises, only falls or stays constant. So the best message of a stage is its
//! oldest, its youngest or, if the value is constant, the first in the queue. The index keeps these apart, so
//! that a choice compares a few messages and not the whole queue. Messages that may have run, are ordered, or
//! have had all their attempts are compared one by one.
//!
//! The index is derived data: it is rebuilt from the messages when needed and is not part of a handover. It
//! does not affect decisions: comparing all messages of the queue leads to the same choice.

use super::VALUE_STAGES;
use crate::model::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A queue with more messages than this gets an index.
const INDEX_ABOVE_LENGTH: usize = 64;
/// A queue with an index drops it at this number of messages or fewer.
const NO_INDEX_UP_TO_LENGTH: usize = 32;
/// The maximum number of stages of a message's value. The value depends on the age now and on the age one
/// latency objective later, each of which goes through [`VALUE_STAGES`] stages.
pub const STAGES: usize = 2 * VALUE_STAGES - 1;

/// The number of a message in the order of acceptance, over all queues.
pub type Seq = u64;

/// The common properties of messages that differ only in their age.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageGroup {
    /// Class of all messages of the group.
    pub class: ClassId,
    /// Whether the messages of the group are over their tenant's quota.
    pub is_over_quota: bool,
}

/// How a message in its queue takes part in a choice.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum QueueState {
    /// A call carries the message, so it cannot be chosen.
    InFlight,
    /// The message is always compared individually.
    Individual,
    /// The message belongs to a group whose messages differ only in their age. It may not be sent before
    /// `not_before`.
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
    /// Returns the number of messages, including those in flight.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns the ids of all messages, in the order of acceptance.
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

    /// Updates the index with the state of a message.
    pub fn set_queue_state(&mut self, seq: Seq, queue_state: QueueState) {
        if let Some((index, id)) = self.index.as_mut().zip(self.order.get(&seq)) {
            index.remove(seq);
            index.insert(seq, *id, queue_state);
        }
    }

    /// Takes the index of a long queue, which the caller has to put back with [`Queue::restore_index`]. If
    /// there is none yet, builds it, with `queue_state` for the state of each message. None if the queue is
    /// too short for an index.
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

    /// Puts back an index that was taken with [`Queue::take_index`].
    pub fn restore_index(&mut self, index: Box<Index>) {
        self.index = Some(index);
    }
}

/// The index of a long queue: its messages by their state, group and stage.
#[derive(Default)]
pub struct Index {
    entries: BTreeMap<Seq, (MessageId, Location)>,
    /// Messages that are always compared individually.
    individual: BTreeSet<Seq>,
    /// Grouped messages by the time before which they may not be sent.
    delayed: BTreeSet<(Time, Seq)>,
    /// Grouped messages that may be sent, by stage.
    groups: BTreeMap<MessageGroup, [Stage; STAGES]>,
}

#[derive(Clone, Copy)]
enum Location {
    InFlight,
    Individual,
    Delayed { group: MessageGroup, enqueued_at: Time, not_before: Time },
    Stage { group: MessageGroup, stage: usize, enqueued_at: Time },
}

#[derive(Default)]
struct Stage {
    by_age: BTreeSet<(Time, Seq)>,
    by_seq: BTreeSet<Seq>,
}

impl Stage {
    /// Returns the oldest, the youngest and the first message; of several of the same age, the first of them.
    fn extremes(&self) -> impl Iterator<Item = Seq> + '_ {
        let youngest =
            self.by_age.last().and_then(|(enqueued_at, _)| self.by_age.range((*enqueued_at, 0)..).next());
        let extremes = [self.by_age.first(), youngest].into_iter().flatten().map(|(_, seq)| *seq);
        extremes.chain(self.by_seq.first().copied())
    }
}

impl Index {
    fn insert(&mut self, seq: Seq, id: MessageId, queue_state: QueueState) {
        let location = match queue_state {
            QueueState::InFlight => Location::InFlight,
            QueueState::Individual => {
                self.individual.insert(seq);
                Location::Individual
            }
            QueueState::Grouped { group, enqueued_at, not_before } => {
                self.delayed.insert((not_before, seq));
                Location::Delayed { group, enqueued_at, not_before }
            }
        };
        self.entries.insert(seq, (id, location));
    }

    fn remove(&mut self, seq: Seq) {
        match self.entries.remove(&seq) {
            Some((_, Location::Individual)) => drop(self.individual.remove(&seq)),
            Some((_, Location::Delayed { not_before, .. })) => drop(self.delayed.remove(&(not_before, seq))),
            Some((_, Location::Stage { group, stage, enqueued_at })) => {
                self.remove_from_stage(seq, group, stage, enqueued_at)
            }
            Some((_, Location::InFlight)) | None => {}
        }
    }

    fn remove_from_stage(&mut self, seq: Seq, group: MessageGroup, stage: usize, enqueued_at: Time) {
        if let Some(stages) = self.groups.get_mut(&group) {
            stages[stage].by_age.remove(&(enqueued_at, seq));
            stages[stage].by_seq.remove(&seq);
        }
    }

    fn insert_into_stage(&mut self, seq: Seq, group: MessageGroup, stage: usize, enqueued_at: Time) {
        let stage_entry = &mut self.groups.entry(group).or_default()[stage];
        stage_entry.by_age.insert((enqueued_at, seq));
        stage_entry.by_seq.insert(seq);
        if let Some((_, location)) = self.entries.get_mut(&seq) {
            *location = Location::Stage { group, stage, enqueued_at };
        }
    }

    /// Moves each message to the stage that it has reached at `now`. Stages only grow with age.
    pub fn advance(&mut self, now: Time, stage_of: impl Fn(MessageGroup, Time) -> usize) {
        while let Some((_, seq)) = self.delayed.first().filter(|(at, _)| *at <= now).copied() {
            self.delayed.pop_first();
            if let Some((_, Location::Delayed { group, enqueued_at, .. })) = self.entries.get(&seq).copied() {
                self.insert_into_stage(seq, group, stage_of(group, enqueued_at).min(STAGES - 1), enqueued_at);
            }
        }
        for group in self.groups.keys().copied().collect::<Vec<_>>() {
            for stage in 0..STAGES - 1 {
                while let Some((enqueued_at, seq)) = self.groups[&group][stage].by_age.first().copied() {
                    let reached_stage = stage_of(group, enqueued_at).min(STAGES - 1);
                    if reached_stage <= stage {
                        break;
                    }
                    self.remove_from_stage(seq, group, stage, enqueued_at);
                    self.insert_into_stage(seq, group, reached_stage, enqueued_at);
                }
            }
        }
    }

    /// Returns candidates, in the order of the queue: the messages among which the best one is now, and the
    /// first that may be sent later. Includes all messages of groups for which `include_all_of` is true.
    pub fn candidates(&self, include_all_of: impl Fn(MessageGroup) -> bool) -> Vec<MessageId> {
        let mut candidates: BTreeSet<Seq> = self.individual.clone();
        candidates.extend(self.delayed.first().map(|(_, seq)| *seq));
        for (group, stages) in &self.groups {
            for stage in stages {
                if include_all_of(*group) {
                    candidates.extend(&stage.by_seq);
                } else {
                    candidates.extend(stage.extremes());
                }
            }
        }
        candidates.iter().filter_map(|seq| self.entries.get(seq)).map(|(id, _)| *id).collect()
    }
}
