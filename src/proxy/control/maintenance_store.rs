//! The maintenance store: which backends are in maintenance, in a file that outlasts a process and is
//! shared by two processes of one address.

use crate::log;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::fs::{File, Metadata, OpenOptions};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// The book's lock is held for a moment. One who can't have it so long goes on without: a process
/// that stands still must not keep a ban from the other one.
const LOCK_WITHIN: Duration = Duration::from_millis(300);
const LOCK_STEP: Duration = Duration::from_millis(5);

/// What is written down.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct MaintenanceRecord {
    /// All that were ever listed.
    pub(super) listed: BTreeSet<String>,
    /// Those that are out.
    pub(super) out: BTreeSet<String>,
}

/// The book, as this process has it, and its file.
pub struct MaintenanceStore {
    path: PathBuf,
    pub(super) pages: RefCell<MaintenanceRecord>,
    /// The file that was read last.
    read: Cell<Option<(u64, i64, i64)>>,
    /// There is something that the file lacks.
    pub(super) unsaved: Cell<bool>,
    /// The file could not be written; logged once, not at each poll.
    failing: Cell<bool>,
}

fn stamp(metadata: &Metadata) -> (u64, i64, i64) {
    (metadata.ino(), metadata.mtime(), metadata.mtime_nsec())
}

impl MaintenanceStore {
    /// The book at `path`. One that is missing or torn is empty.
    pub fn open(path: &Path) -> Rc<Self> {
        let book = Self {
            path: path.with_added_extension("book"),
            pages: RefCell::default(),
            read: Cell::new(None),
            unsaved: Cell::new(false),
            failing: Cell::new(false),
        };
        book.refresh();
        Rc::new(book)
    }

    /// These have been listed.
    pub fn record_listed<'a>(&self, names: impl Iterator<Item = &'a str>) {
        let listed = &mut self.pages.borrow_mut().listed;
        for name in names {
            if !listed.contains(name) {
                listed.insert(name.to_string());
                self.unsaved.set(true);
            }
        }
    }

    /// Takes in what the other process has written.
    pub(super) fn refresh(&self) {
        let now = std::fs::metadata(&self.path).as_ref().map(stamp).ok();
        if now.is_some() && now == self.read.get() {
            return;
        }
        match self.load() {
            Ok(pages) => {
                self.read.set(now);
                self.merge(pages);
            }
            // What this process knows outlasts the file.
            Err(_) => self.unsaved.set(*self.pages.borrow() != MaintenanceRecord::default()),
        }
    }

    fn load(&self) -> io::Result<MaintenanceRecord> {
        Ok(serde_json::from_slice(&std::fs::read(&self.path)?)?)
    }

    fn merge(&self, pages: MaintenanceRecord) {
        let mut mine = self.pages.borrow_mut();
        let lacks = mine.listed.difference(&pages.listed).next().is_some();
        self.unsaved.set(lacks);
        mine.listed.extend(pages.listed);
        mine.out = pages.out;
    }

    /// Changes the book, in the file too. A file that can't be written is told in the log, and
    /// what was changed holds for this process.
    pub(super) async fn update(&self, change: impl FnOnce(&mut MaintenanceRecord)) {
        let lock = self.lock().await;
        if let Ok(pages) = self.load() {
            self.merge(pages);
        }
        change(&mut self.pages.borrow_mut());
        let saved = self.save();
        self.unsaved.set(saved.is_err());
        let told = self.failing.replace(saved.is_err());
        if let Err(error) = saved
            && !told
        {
            log!("maintenance: {}: {error}", self.path.display());
        }
        drop(lock);
    }

    async fn lock(&self) -> io::Result<File> {
        let path = self.path.with_added_extension("lock");
        let file = OpenOptions::new().write(true).create(true).truncate(false).open(path)?;
        let tried = tokio::time::Instant::now();
        while file.try_lock().is_err() && tried.elapsed() < LOCK_WITHIN {
            tokio::time::sleep(LOCK_STEP).await;
        }
        Ok(file)
    }

    /// Replaces the file at one stroke, so that nobody ever reads a part of it.
    fn save(&self) -> io::Result<()> {
        let new = self.path.with_added_extension(format!("new-{}", std::process::id()));
        std::fs::write(&new, serde_json::to_vec(&*self.pages.borrow())?)?;
        let read = stamp(&std::fs::metadata(&new)?);
        std::fs::rename(&new, &self.path)?;
        self.read.set(Some(read));
        Ok(())
    }
}
