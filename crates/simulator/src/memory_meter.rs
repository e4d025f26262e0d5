//! Counts the memory of each simulated process: what its code has allocated and not freed.

use std::alloc::System;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Mutex, Once, PoisonError};

use tracking_allocator::{
    AllocationGroupId, AllocationGroupToken, AllocationRegistry, AllocationTracker, Allocator,
};

/// Number of allocation groups that are counted. Groups are reused, so that there are about as many as processes
/// run at the same time.
const MAX_GROUPS: usize = 4096;

#[global_allocator]
static ALLOCATOR: Allocator<System> = Allocator::system();

/// The memory of one allocation group, in bytes.
struct GroupMemory {
    allocated: AtomicI64,
    /// The largest value of `allocated` since the group was last assigned to a process.
    peak: AtomicI64,
}

static GROUPS: [GroupMemory; MAX_GROUPS] =
    [const { GroupMemory { allocated: AtomicI64::new(0), peak: AtomicI64::new(0) } }; MAX_GROUPS];

/// Groups whose process has ended.
static UNUSED_GROUPS: Mutex<Vec<AllocationGroupToken>> = Mutex::new(Vec::new());

/// Tracker that adds each allocation to its group.
struct GroupTracker;

impl AllocationTracker for GroupTracker {
    fn allocated(&self, _: usize, object_bytes: usize, _: usize, group: AllocationGroupId) {
        let Some(memory) = GROUPS.get(group.as_usize().get()) else { return };
        let bytes = object_bytes as i64;
        let allocated = memory.allocated.fetch_add(bytes, Ordering::Relaxed) + bytes;
        memory.peak.fetch_max(allocated, Ordering::Relaxed);
    }

    fn deallocated(
        &self,
        _: usize,
        object_bytes: usize,
        _: usize,
        source_group: AllocationGroupId,
        _: AllocationGroupId,
    ) {
        if let Some(memory) = GROUPS.get(source_group.as_usize().get()) {
            memory.allocated.fetch_sub(object_bytes as i64, Ordering::Relaxed);
        }
    }
}

/// Counter of the memory of one process.
pub(crate) struct MemoryMeter {
    /// The allocation group of the process; present until this is dropped.
    group: Option<AllocationGroupToken>,
    /// What an earlier process with the same group has not freed yet, in bytes. Messages on their way outlive the
    /// process that sent them.
    allocated_before: i64,
}

impl MemoryMeter {
    /// Starts to count the memory of a process that has none yet.
    pub(crate) fn start() -> Self {
        static ENABLE: Once = Once::new();
        ENABLE.call_once(|| {
            let is_set = AllocationRegistry::set_global_tracker(GroupTracker);
            is_set.expect("no other tracker is set in this program");
            AllocationRegistry::enable_tracking();
        });
        let unused = UNUSED_GROUPS.lock().unwrap_or_else(PoisonError::into_inner).pop();
        let group = unused.or_else(AllocationGroupToken::register);
        let mut meter = Self { group, allocated_before: 0 };
        if let Some(memory) = meter.memory() {
            let allocated = memory.allocated.load(Ordering::Relaxed);
            memory.peak.store(allocated, Ordering::Relaxed);
            meter.allocated_before = allocated;
        }
        meter
    }

    /// Runs code of the process and counts what it allocates.
    pub(crate) fn count<T>(&mut self, run: impl FnOnce() -> T) -> T {
        let _guard = self.group.as_mut().map(AllocationGroupToken::enter);
        run()
    }

    /// Returns the largest memory that the process has had, in bytes.
    pub(crate) fn peak_bytes(&self) -> usize {
        let peak = self.memory().map_or(0, |memory| memory.peak.load(Ordering::Relaxed));
        usize::try_from(peak - self.allocated_before).unwrap_or(0)
    }

    fn memory(&self) -> Option<&'static GroupMemory> {
        GROUPS.get(self.group.as_ref()?.id().as_usize().get())
    }
}

impl Drop for MemoryMeter {
    fn drop(&mut self) {
        let group = self.group.take();
        UNUSED_GROUPS.lock().unwrap_or_else(PoisonError::into_inner).extend(group);
    }
}

/// Runs code whose allocations belong to no process.
pub(crate) fn without_counting<T>(run: impl FnOnce() -> T) -> T {
    AllocationRegistry::untracked(run)
}
