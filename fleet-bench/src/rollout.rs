//! Roll-outs of settings: every proxy's file is replaced and SIGHUP sent, and its `stats` are asked
//! until they show that version in force. Then the same with what goes wrong on the way.

use crate::discovery::{Discovery, Mode};
use crate::error::Error;
use crate::process::{Machine, Proxy, Stop, Usage};
use crate::report::{Report, Table, Value};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use serde_json::{Value as Json, json};
use std::time::{Duration, Instant};

/// Arguments of roll-outs.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Changes of settings; if any, they are run and the lists are not
    #[arg(long, value_name = "N")]
    pub settings_changes: Option<usize>,
    /// Proxies whose settings change
    #[arg(long, value_name = "N")]
    pub settings_proxies: Option<usize>,
    /// Changes of settings a second
    #[arg(long, value_name = "RATE")]
    pub settings_pace: Option<f64>,
}

/// What is run of roll-outs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Plan {
    /// Changes, 0 to 1,000; none for no roll-outs.
    pub changes: usize,
    /// Proxies, 1 to 200.
    pub proxies: usize,
    /// Changes a second, 0.1 to 100.
    pub pace: f64,
}

impl Default for Plan {
    fn default() -> Self {
        // Well above the fleet's 13,000 a day, which are 0.15 a second.
        Self { changes: 0, proxies: 50, pace: 2.0 }
    }
}

impl Plan {
    /// Arguments go before it.
    pub fn take(&mut self, args: &Args) {
        self.changes = args.settings_changes.unwrap_or(self.changes);
        self.proxies = args.settings_proxies.unwrap_or(self.proxies);
        self.pace = args.settings_pace.unwrap_or(self.pace);
    }

    /// An error for what is beyond its bounds.
    pub fn check(&self) -> Result<(), Error> {
        let bounds = [
            ("settings-changes", self.changes as f64, 0.0, 1_000.0),
            ("settings-proxies", self.proxies as f64, 1.0, 200.0),
            ("settings-pace", self.pace, 0.1, 100.0),
            // As long thrice, which is to end within an hour.
            ("settings-changes / settings-pace, s", self.changes as f64 / self.pace, 0.0, 1_000.0),
        ];
        match bounds.into_iter().find(|(_, got, least, most)| !(least..=most).contains(&got)) {
            Some((name, got, least, most)) => Err(Error::Range { name, least, most, got }),
            None => Ok(()),
        }
    }
}

/// A change is to be in force everywhere within this, by the operators' expectation.
const WITHIN: Duration = Duration::from_secs(14);
/// How often a proxy is asked what is in force.
const ASK_EVERY: Duration = Duration::from_millis(2);
/// Changes a second where processor time is measured: at the fleet's own rate, what they take is lost
/// in how unevenly a proxy at rest takes its time.
const QUICK: f64 = 20.0;
/// What a row has left to do in the proxies is done by then.
const SETTLE: Duration = Duration::from_secs(1);

/// What `stats` says of settings.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
struct Figures {
    version: Option<u64>,
    changed: u64,
    refused: u64,
}

/// A proxy, with its file as last written whole.
struct Site<'a> {
    proxy: &'a mut Proxy,
    config: Json,
    /// At the beginning of a row, or of the process if that is later.
    before: Figures,
}

impl<'a> Site<'a> {
    fn new(proxy: &'a mut Proxy) -> Result<Self, Error> {
        let path = proxy.config();
        let text = std::fs::read(&path).map_err(|error| Error::File { path, error })?;
        let config = serde_json::from_slice(&text)
            .map_err(|error| Error::Failed(format!("configuration: {error}")))?;
        Ok(Self { proxy, config, before: Figures::default() })
    }

    /// The file of this version. With each one a figure changes that nothing here depends on.
    fn text(&mut self, version: u64) -> String {
        let settings = &mut self.config["settings"];
        settings["version"] = json!(version);
        settings["caps"]["max-open"] = json!(1_000 + version);
        self.config.to_string()
    }

    fn put(&self, text: &str) -> Result<(), Error> {
        let path = self.proxy.config();
        let beside = path.with_extension("next");
        let put = std::fs::write(&beside, text).and_then(|()| std::fs::rename(&beside, &path));
        put.map_err(|error| Error::File { path, error })
    }

    fn put_version(&mut self, version: u64) -> Result<(), Error> {
        let text = self.text(version);
        self.put(&text)
    }

    fn change(&mut self, version: u64) -> Result<(), Error> {
        self.put_version(version)?;
        self.proxy.reload()
    }

    fn kill(&mut self) -> Result<(), Error> {
        self.before = Figures::default();
        self.proxy.kill()
    }

    fn figures(&self) -> Result<Figures, Error> {
        let said = self.proxy.stats()?["settings"].take();
        serde_json::from_value(said).map_err(|error| Error::Failed(format!("stats: settings: {error}")))
    }

    /// When this holds of its figures; none if not in time. One that does not answer may be on its
    /// way up.
    fn wait(
        &self,
        stop: &Stop,
        by: Instant,
        holds: impl Fn(&Figures) -> bool,
    ) -> Result<Option<Instant>, Error> {
        loop {
            stop.check()?;
            let seen = self.figures().is_ok_and(|figures| holds(&figures));
            let now = Instant::now();
            match seen && now <= by {
                true => return Ok(Some(now)),
                false if now > by => return Ok(None),
                false => std::thread::sleep(ASK_EVERY),
            }
        }
    }
}

/// When a tenth of the proxies are killed.
#[derive(Clone, Copy)]
enum Killed {
    /// At once after the signal; the start finds the new file.
    AfterSignal,
    /// Before the file comes; it comes while they are away.
    FileWhileAway,
    /// Before the file comes; it comes with a signal when they are there again.
    FileAfterwards,
}

/// A file that must be refused, before one that must not.
#[derive(Clone, Copy)]
enum Bad {
    /// Half of the next version.
    Torn,
    /// The version before the one in force.
    Older,
}

struct Rollout<'a> {
    plan: &'a Plan,
    stop: &'a Stop,
    sites: Vec<Site<'a>>,
    /// The last one that was sent out.
    version: u64,
    table: Table,
}

/// What a row has shown.
struct Seen {
    /// Until a version was in force, at each proxy.
    took: Vec<Duration>,
    /// Processor time of a change that a proxy takes over, in ms; noise may take it below 0.
    processor: f64,
}

impl From<Vec<Duration>> for Seen {
    fn from(took: Vec<Duration>) -> Self {
        Self { took, processor: f64::NAN }
    }
}

impl<'a> Rollout<'a> {
    /// Does it at all proxies at the same time.
    fn each<T: Send>(
        &mut self,
        act: impl Fn(usize, &mut Site<'a>) -> Result<T, Error> + Sync,
    ) -> Result<Vec<T>, Error> {
        let act = &act;
        std::thread::scope(|scope| {
            let start =
                |(number, site)| std::thread::Builder::new().spawn_scoped(scope, move || act(number, site));
            let threads: Vec<_> = self.sites.iter_mut().enumerate().map(start).collect::<Result<_, _>>()?;
            let end = |thread: std::thread::ScopedJoinHandle<'_, _>| {
                thread.join().unwrap_or_else(|_| Err(Error::Failed("a thread has panicked".to_string())))
            };
            threads.into_iter().map(end).collect()
        })
    }

    /// Acts at all proxies, which must show it in their figures in time. Returns how long each took
    /// from the beginning, before the first file was written.
    fn until(
        &mut self,
        what: &str,
        act: impl Fn(usize, &mut Site<'a>) -> Result<(), Error> + Sync,
        holds: impl Fn(&Site<'a>, &Figures) -> bool + Sync,
    ) -> Result<Vec<Duration>, Error> {
        let (stop, begun) = (self.stop, Instant::now());
        let seen = self.each(|number, site| {
            act(number, site)?;
            site.wait(stop, begun + WITHIN, |figures| holds(site, figures))
        })?;
        let late = seen.iter().filter(|seen| seen.is_none()).count();
        if let Some(first) = seen.iter().position(Option::is_none) {
            let (site, of) = (&self.sites[first], seen.len());
            let said = site.figures().map_or_else(|error| error.to_string(), |f| format!("{f:?}"));
            return Err(Error::Failed(format!(
                "{late} of {of} proxies not at {what} within {} s; {}: {said}",
                WITHIN.as_secs(),
                site.proxy.listen
            )));
        }
        Ok(seen.into_iter().flatten().map(|at| at.duration_since(begun)).collect())
    }

    /// Acts at all proxies, each of which must then come to the last version.
    fn roll_out(
        &mut self,
        act: impl Fn(usize, &mut Site<'a>, u64) -> Result<(), Error> + Sync,
    ) -> Result<Vec<Duration>, Error> {
        let last = self.version;
        self.until(
            &format!("settings version {last}"),
            |number, site| act(number, site, last),
            |_, figures| figures.version == Some(last),
        )
    }

    fn one(&mut self) -> Result<Vec<Duration>, Error> {
        self.version += 1;
        self.roll_out(|_, site, version| site.change(version))
    }

    fn gap(&self) -> Duration {
        Duration::from_secs_f64(1.0 / self.plan.pace)
    }

    fn paced(&mut self) -> Result<Seen, Error> {
        let (mut took, begun) = (Vec::new(), Instant::now());
        for i in 0..self.plan.changes {
            self.stop.sleep_until(begun + self.gap() * i as u32)?;
            took.extend(self.one()?);
        }
        Ok(took.into())
    }

    fn usages(&self) -> Result<Vec<Usage>, Error> {
        self.sites.iter().map(|site| site.proxy.usage()).collect()
    }

    /// So many changes, soon after each other, with nobody who asks: to answer costs more than to
    /// change.
    fn unasked(&mut self, changes: usize) -> Result<Seen, Error> {
        let gap = Duration::from_secs_f64(1.0 / QUICK);
        self.stop.sleep_until(Instant::now() + SETTLE)?;
        let (before, long) = (self.usages()?, gap * changes as u32);
        self.stop.sleep_until(Instant::now() + long)?;
        let (begun, rested) = (Instant::now(), self.usages()?);
        for i in 0..changes {
            self.stop.sleep_until(begun + gap * i as u32)?;
            self.version += 1;
            let version = self.version;
            self.each(|_, site| site.change(version))?;
        }
        self.stop.sleep_until(begun + long)?;
        let after = self.usages()?;
        self.roll_out(|_, _, _| Ok(()))?;
        let spent = |(before, (rested, after)): (&Usage, (&Usage, &Usage))| {
            let seconds = after.at.duration_since(rested.at).as_secs_f64();
            (after.cores_since(rested) - rested.cores_since(before)) * seconds
        };
        let spent: f64 = before.iter().zip(rested.iter().zip(&after)).map(spent).sum();
        // Signals that come before one is looked at are one.
        let taken_over =
            self.each(|_, site| Ok(site.figures()?.changed.saturating_sub(site.before.changed)))?;
        let each = spent / taken_over.iter().sum::<u64>() as f64;
        Ok(Seen { took: Vec::new(), processor: 1e3 * each })
    }

    fn burst(&mut self) -> Result<Seen, Error> {
        let first = self.version + 1;
        self.version += self.plan.changes as u64;
        let all = |_, site: &mut Site<'a>, last| (first..=last).try_for_each(|v| site.change(v));
        Ok(self.roll_out(all)?.into())
    }

    /// A file that must be refused, and leave the old one in force; then a good one.
    fn bad_first(&mut self, bad: Bad) -> Result<Seen, Error> {
        let old = self.version;
        self.until(
            &format!("one file refused and settings version {old}"),
            |_, site| {
                let text = match bad {
                    Bad::Torn => {
                        let whole = site.text(old + 1);
                        whole.chars().take(whole.chars().count() / 2).collect()
                    }
                    Bad::Older => site.text(old - 1),
                };
                site.put(&text)?;
                site.proxy.reload()
            },
            |site, figures| figures.refused == site.before.refused + 1 && figures.version == Some(old),
        )?;
        Ok(self.one()?.into())
    }

    fn killed(&mut self, killed: Killed) -> Result<Seen, Error> {
        self.version += 1;
        let stop = self.stop;
        let took = self.roll_out(|number, site, version| {
            if number % 10 != 0 {
                return site.change(version);
            }
            match killed {
                Killed::AfterSignal => {
                    site.change(version)?;
                    site.kill()?;
                    site.proxy.start_again()
                }
                Killed::FileWhileAway => {
                    site.kill()?;
                    site.put_version(version)?;
                    site.proxy.start_again()
                }
                Killed::FileAfterwards => {
                    site.kill()?;
                    site.proxy.start_again()?;
                    site.proxy.ready(stop)?;
                    site.change(version)
                }
            }
        })?;
        Ok(took.into())
    }

    /// A row: so many changes, with so many files to be refused at each proxy.
    fn row(
        &mut self,
        name: &str,
        changes: usize,
        refused: u64,
        act: impl FnOnce(&mut Self) -> Result<Seen, Error>,
    ) -> Result<(), Error> {
        tracing::info!("settings: {name}");
        let machine = Machine::now()?;
        self.each(|_, site| site.figures().map(|figures| site.before = figures))?;
        let seen = act(self)?;
        let after = self.each(|_, site| {
            let figures = site.figures()?;
            let before = site.before;
            Ok((
                figures.changed.saturating_sub(before.changed),
                figures.refused.saturating_sub(before.refused),
            ))
        })?;
        let stalled = Machine::now()?.stall_since(&machine);
        let of = self.sites.len();
        let (taken_over, refusals) =
            after.iter().fold((0, 0), |(taken, refused), each| (taken + each.0, refused + each.1));
        let wanted = refused * of as u64;
        if refusals != wanted {
            return Err(Error::Failed(format!(
                "settings, {name}: {refusals} files were refused, not {wanted}"
            )));
        }
        let mut micros = Histogram::<u64>::new(3).map_err(|error| Error::Failed(error.to_string()))?;
        for took in &seen.took {
            let recorded = micros.record(took.as_micros() as u64);
            recorded.map_err(|error| Error::Failed(error.to_string()))?;
        }
        let ms = |part: f64| match seen.took.is_empty() {
            true => f64::NAN,
            false => micros.value_at_quantile(part) as f64 / 1e3,
        };
        let row: [Value; COLUMNS.len()] = [
            name.into(),
            changes.into(),
            of.into(),
            ms(0.5).into(),
            ms(0.99).into(),
            ms(1.0).into(),
            (ms(1.0) / 1e3 / WITHIN.as_secs_f64()).into(),
            (taken_over as f64 / of as f64).into(),
            (refusals as usize).into(),
            seen.processor.into(),
            (100.0 * stalled).into(),
        ];
        self.table.row(row);
        Ok(())
    }
}

const COLUMNS: [&str; 11] = [
    "roll-out",
    "changes",
    "proxies",
    "50%, ms",
    "99%, ms",
    "all, ms",
    "of 14 s",
    "taken over, each",
    "refused",
    "processor, ms a change",
    "machine stalled, %",
];

/// Runs the roll-outs at these proxies, which are ready and keep the list of this discovery. It is an
/// error if one does not come to the last version in time, or takes or refuses what it must not.
pub fn run(
    plan: &Plan,
    stop: &Stop,
    proxies: &mut [Proxy],
    discovery: &Discovery,
    report: &mut Report,
) -> Result<(), Error> {
    let table =
        Table::new("How soon changed settings are in force, and what that costs each proxy", &COLUMNS);
    let sites = proxies.iter_mut().map(Site::new).collect::<Result<_, _>>()?;
    let mut rollout = Rollout { plan, stop, sites, version: 0, table };
    let changes = plan.changes;
    rollout.row("paced", changes, 0, Rollout::paced)?;
    let quick = (changes as f64 / plan.pace * QUICK).ceil() as usize;
    rollout.row("20 a second, not asked", quick, 0, |rollout| rollout.unasked(quick))?;
    rollout.row("in one burst", changes, 0, Rollout::burst)?;
    rollout.row("a torn file first", 1, 1, |rollout| rollout.bad_first(Bad::Torn))?;
    rollout.row("an older version first", 1, 1, |rollout| rollout.bad_first(Bad::Older))?;
    discovery.set_mode(Mode::Silent);
    rollout.row("discovery silent", 1, 0, |rollout| Ok(rollout.one()?.into()))?;
    discovery.set_mode(Mode::Up);
    for (name, killed) in [
        ("a tenth killed after the signal", Killed::AfterSignal),
        ("a tenth killed, the file comes meanwhile", Killed::FileWhileAway),
        ("a tenth killed, the file comes afterwards", Killed::FileAfterwards),
    ] {
        rollout.row(name, 1, 0, |rollout| rollout.killed(killed))?;
    }
    report.tables.push(rollout.table);
    report.notes.push(format!(
        "Times are from the beginning of a change, or of the burst, before the first file is written, until \
         stats show the version; it is asked for every {} ms. Processor time is what is beyond that at \
         rest, of a change taken over; below 0 it is lost in the noise of the machine.",
        ASK_EVERY.as_millis()
    ));
    Ok(())
}
