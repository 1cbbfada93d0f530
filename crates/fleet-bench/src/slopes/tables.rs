//! The report tables of `fleet-bench slopes`.

use super::measurement::{AxisSamples, CaseSamples, MEASURE_NAMES};
use crate::report::{Table, Value};
use crate::stats::{self, LinearFit, Point};

/// The first quartile, the median and the third quartile.
#[derive(Clone, Copy, Debug)]
struct Quartiles {
    first: f64,
    median: f64,
    third: f64,
}

impl Quartiles {
    /// Returns the quartiles of the finite samples; NaN if there is no finite sample.
    fn of(samples: &[f64]) -> Self {
        let mut sorted: Vec<f64> = samples.iter().copied().filter(|sample| sample.is_finite()).collect();
        sorted.sort_by(f64::total_cmp);
        let last = sorted.len().saturating_sub(1) as f64;
        let at = |fraction: f64| sorted.get((fraction * last).round() as usize).copied().unwrap_or(f64::NAN);
        Self { first: at(0.25), median: at(0.5), third: at(0.75) }
    }
}

/// The report tables of a run.
#[derive(Debug)]
pub struct Tables {
    lines: Table,
    medians: Table,
    spreads: Table,
    minima: Table,
}

impl Tables {
    /// Creates the tables without rows.
    #[must_use]
    pub fn new() -> Self {
        let measures: Vec<&str> = ["axis", "value"].into_iter().chain(MEASURE_NAMES).collect();
        let with_load: Vec<&str> =
            measures.iter().copied().chain(["open requests", "backends used", "unserved"]).collect();
        Self {
            lines: lines_table(),
            medians: Table::new("Cases: medians over the rounds", &with_load),
            spreads: Table::new("Spreads: third less first quartile over the rounds", &measures),
            minima: Table::new("Minima over the rounds", &measures),
        }
    }

    /// Adds the rows of an axis.
    pub fn add_axis(&mut self, axis: &AxisSamples) {
        for case in &axis.cases {
            self.add_case(axis.name, case);
        }
        for (measure, name) in MEASURE_NAMES.iter().enumerate() {
            if let Some(fit) = LineFit::new(&axis.cases, measure) {
                let head = [Value::from(axis.name), Value::from(*name)];
                self.lines.add_row(head.into_iter().chain(fit.values()));
            }
        }
    }

    fn add_case(&mut self, axis: &str, case: &CaseSamples) {
        let head = [Value::from(axis), Value::from(case.value)];
        let load =
            [Value::from(case.open_requests), Value::from(case.backends_used), Value::from(case.unserved)];
        let quartiles = case.measures.each_ref().map(|samples| Quartiles::of(samples));
        let medians = quartiles.map(|quartiles| Value::from(quartiles.median));
        self.medians.add_row(head.clone().into_iter().chain(medians).chain(load));
        let spreads = quartiles.map(|quartiles| Value::from(quartiles.third - quartiles.first));
        self.spreads.add_row(head.clone().into_iter().chain(spreads));
        // On a shared machine, other load affects the lowest sample least.
        let minima = case.measures.each_ref().map(|samples| minimum(samples));
        self.minima.add_row(head.into_iter().chain(minima.map(Value::from)));
    }

    /// Returns the tables in the order of the report.
    #[must_use]
    pub fn into_vec(self) -> Vec<Table> {
        vec![self.lines, self.medians, self.spreads, self.minima]
    }
}

/// Returns the minimum of the samples that are not NaN; NaN if there is no such sample.
fn minimum(samples: &[f64]) -> f64 {
    samples.iter().copied().fold(f64::NAN, f64::min)
}

fn lines_table() -> Table {
    Table::new(
        "Lines: cost of one more unit on the axis (slope), and cost at zero (intercept). Standard errors \
         are of the line through the medians; quartiles are of the lines of each round.",
        &[
            "axis",
            "measure",
            "slope",
            "slope error",
            "slope 1st quartile",
            "slope 3rd quartile",
            "intercept",
            "intercept error",
            "intercept 1st quartile",
            "intercept 3rd quartile",
        ],
    )
}

/// The linear fit of a measure over the values of an axis.
#[derive(Clone, Copy, Debug)]
struct LineFit {
    /// The line through the medians over the rounds.
    medians: LinearFit,
    /// Quartiles of the slopes. Each slope is that of the line through the samples of one round.
    round_slopes: Quartiles,
    /// Quartiles of the intercepts. Each intercept is that of the line through the samples of one round.
    round_intercepts: Quartiles,
}

impl LineFit {
    /// Fits the measure with this index in [`MEASURE_NAMES`]. Returns `None` if there are too few cases.
    fn new(cases: &[CaseSamples], measure: usize) -> Option<Self> {
        let medians = fit(cases, |case| Some(Quartiles::of(&case.measures[measure]).median))?;
        let rounds = cases.iter().map(|case| case.measures[measure].len()).max().unwrap_or(0);
        let fit_round = |round: usize| fit(cases, |case| case.measures[measure].get(round).copied());
        let lines: Vec<LinearFit> = (0..rounds).filter_map(fit_round).collect();
        let slopes: Vec<f64> = lines.iter().map(|line| line.slope).collect();
        let intercepts: Vec<f64> = lines.iter().map(|line| line.intercept).collect();
        Some(Self {
            medians,
            round_slopes: Quartiles::of(&slopes),
            round_intercepts: Quartiles::of(&intercepts),
        })
    }

    fn values(&self) -> [Value; 8] {
        [
            self.medians.slope,
            self.medians.slope_error,
            self.round_slopes.first,
            self.round_slopes.third,
            self.medians.intercept,
            self.medians.intercept_error,
            self.round_intercepts.first,
            self.round_intercepts.third,
        ]
        .map(Value::from)
    }
}

/// Fits a line through the cases that have a finite sample.
fn fit(cases: &[CaseSamples], sample: impl Fn(&CaseSamples) -> Option<f64>) -> Option<LinearFit> {
    let point = |case: &CaseSamples| {
        let sample = sample(case).filter(|sample| sample.is_finite())?;
        Some(Point { x: case.value as f64, y: sample })
    };
    let points: Vec<Point> = cases.iter().filter_map(point).collect();
    stats::fit_line(&points)
}
