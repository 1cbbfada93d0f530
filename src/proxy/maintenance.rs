//! Backends that are taken out by hand: the book of them, which outlasts a process and is shared
//! by two, and the way of what it says to the engine.

use super::discovery::Discovery;
use super::engine::Engine;
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
use thiserror::Error;

/// How often the book is looked at for what the other process has written.
const BEAT: Duration = Duration::from_millis(100);
/// The book's lock is held for a moment. One who can't have it so long goes on without: a process
/// that stands still must not keep a ban from the other one.
const LOCK_WITHIN: Duration = Duration::from_millis(300);
const LOCK_STEP: Duration = Duration::from_millis(5);

/// A call that can't be done.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("never listed: {0}")]
pub struct NeverListed(pub String);

/// What is written down.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Pages {
    /// All that were ever listed.
    listed: BTreeSet<String>,
    /// Those that are out.
    out: BTreeSet<String>,
}

/// The book, as this process has it, and its file.
pub struct Book {
    path: PathBuf,
    pages: RefCell<Pages>,
    /// The file that was read last.
    read: Cell<Option<(u64, i64, i64)>>,
    /// There is something that the file lacks.
    unsaved: Cell<bool>,
    /// The file could not be written. Told once, not at each beat.
    failing: Cell<bool>,
}

fn stamp(metadata: &Metadata) -> (u64, i64, i64) {
    (metadata.ino(), metadata.mtime(), metadata.mtime_nsec())
}

impl Book {
    /// The book at `path`. One that is missing or torn is empty.
    pub fn open(path: &Path) -> Rc<Self> {
        let book = Self {
            path: path.with_added_extension("book"),
            pages: RefCell::default(),
            read: Cell::new(None),
            unsaved: Cell::new(false),
            failing: Cell::new(false),
        };
        book.look();
        Rc::new(book)
    }

    /// These have been listed.
    pub fn listed<'a>(&self, names: impl Iterator<Item = &'a str>) {
        let listed = &mut self.pages.borrow_mut().listed;
        for name in names {
            if !listed.contains(name) {
                listed.insert(name.to_string());
                self.unsaved.set(true);
            }
        }
    }

    /// Takes in what the other process has written.
    fn look(&self) {
        let now = std::fs::metadata(&self.path).as_ref().map(stamp).ok();
        if now.is_some() && now == self.read.get() {
            return;
        }
        match self.load() {
            Ok(pages) => {
                self.read.set(now);
                self.take(pages);
            }
            // What this process knows outlasts the file.
            Err(_) => self.unsaved.set(*self.pages.borrow() != Pages::default()),
        }
    }

    fn load(&self) -> io::Result<Pages> {
        Ok(serde_json::from_slice(&std::fs::read(&self.path)?)?)
    }

    fn take(&self, pages: Pages) {
        let mut mine = self.pages.borrow_mut();
        let lacks = mine.listed.difference(&pages.listed).next().is_some();
        self.unsaved.set(lacks);
        mine.listed.extend(pages.listed);
        mine.out = pages.out;
    }

    /// Changes the book, in the file too. A file that can't be written is told in the log, and
    /// what was changed holds for this process.
    async fn change(&self, change: impl FnOnce(&mut Pages)) {
        let lock = self.lock().await;
        if let Ok(pages) = self.load() {
            self.take(pages);
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

/// Tells the engine what the book says.
pub struct Maintenance {
    book: Rc<Book>,
    discovery: Rc<Discovery>,
    engine: Rc<Engine>,
    /// What the engine has been told.
    told: RefCell<BTreeSet<String>>,
}

impl Maintenance {
    /// Tells the engine at once, and from then on of each change.
    pub fn start(book: Rc<Book>, discovery: Rc<Discovery>, engine: Rc<Engine>) -> Rc<Self> {
        let maintenance = Rc::new(Self { book, discovery, engine, told: RefCell::default() });
        maintenance.tell();
        tokio::task::spawn_local(maintenance.clone().follow());
        maintenance
    }

    /// Takes a backend out, or lets it serve again. Doing so twice changes nothing.
    pub async fn set(&self, name: &str, out: bool) -> Result<(), NeverListed> {
        self.book.look();
        if !self.book.pages.borrow().listed.contains(name) {
            return Err(NeverListed(name.to_string()));
        }
        let change = |pages: &mut Pages| match out {
            true => drop(pages.out.insert(name.to_string())),
            false => drop(pages.out.remove(name)),
        };
        self.book.change(change).await;
        self.tell();
        Ok(())
    }

    async fn follow(self: Rc<Self>) {
        loop {
            tokio::time::sleep(BEAT).await;
            self.book.look();
            if self.book.unsaved.get() {
                self.book.change(|_| ()).await;
            }
            self.tell();
        }
    }

    fn tell(&self) {
        let out = self.book.pages.borrow().out.clone();
        let told = self.told.replace(out.clone());
        for name in told.symmetric_difference(&out) {
            self.engine.maintain(self.discovery.backend(name), out.contains(name));
        }
    }
}
