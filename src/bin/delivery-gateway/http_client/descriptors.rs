//! Bounds the descriptors that connections to endpoints hold.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// A bounded number of descriptors.
pub struct Descriptors {
    max: usize,
    open: Rc<Cell<usize>>,
    released: Rc<Notify>,
}

impl Descriptors {
    /// None of `max` descriptors is in use.
    pub fn new(max: usize) -> Self {
        Descriptors { max, open: Rc::default(), released: Rc::default() }
    }

    /// Whether all descriptors are in use.
    pub fn are_exhausted(&self) -> bool {
        self.open.get() >= self.max
    }

    /// Waits until a descriptor has been released.
    pub async fn released(&self) {
        self.released.notified().await;
    }

    /// Takes a descriptor, beyond the bound if need be.
    pub fn take(&self) -> Descriptor {
        self.open.set(self.open.get() + 1);
        Descriptor { open: self.open.clone(), released: self.released.clone() }
    }
}

/// A descriptor in use, free again when dropped.
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
