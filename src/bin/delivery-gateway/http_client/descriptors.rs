//! Limits the file descriptors that connections to endpoints hold.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Counts the file descriptors in use against a maximum.
pub struct Descriptors {
    max: usize,
    open: Rc<Cell<usize>>,
    released: Rc<Notify>,
}

impl Descriptors {
    /// Creates a counter for `max` descriptors, none of them in use.
    pub fn new(max: usize) -> Self {
        Descriptors { max, open: Rc::default(), released: Rc::default() }
    }

    /// Returns whether all descriptors are in use.
    pub fn are_exhausted(&self) -> bool {
        self.open.get() >= self.max
    }

    /// Waits until a descriptor has been released.
    pub async fn released(&self) {
        self.released.notified().await;
    }

    /// Counts one more descriptor as in use, even beyond the maximum. Callers that must stay within it check
    /// [`Self::are_exhausted`] first.
    pub fn take(&self) -> Descriptor {
        self.open.set(self.open.get() + 1);
        Descriptor { open: self.open.clone(), released: self.released.clone() }
    }
}

/// A descriptor in use. Dropping it releases it.
pub struct Descriptor {
    open: Rc<Cell<usize>>,
    released: Rc<Notify>,
}

impl Drop for Descriptor {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
        self.released.notify_one();
    }
}
