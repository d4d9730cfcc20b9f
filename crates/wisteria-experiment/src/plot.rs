//! Plots as SVG files.

use std::path::Path;

use anyhow::{Result, anyhow};
use plotters::prelude::*;

const SIZE: (u32, u32) = (860, 420);
const FONT: (&str, u32) = ("sans-serif", 16);
const MARGIN: u32 = 14;
const LABELS: u32 = 56;
const POINT: u32 = 3;
/// Room above the greatest value.
const HEADROOM: f64 = 1.08;

/// One line of a plot.
#[derive(Clone, Debug)]
pub(crate) struct Series {
    pub(crate) name: String,
    pub(crate) points: Vec<(f64, f64)>,
}

impl Series {
    pub(crate) fn new(name: impl Into<String>, points: Vec<(f64, f64)>) -> Self {
        Self { name: name.into(), points }
    }
}

/// Lines over a common axis.
#[derive(Clone, Debug, Default)]
pub(crate) struct Plot {
    pub(crate) title: String,
    pub(crate) across: &'static str,
    pub(crate) up: &'static str,
    pub(crate) series: Vec<Series>,
}

impl Plot {
    pub(crate) fn save(&self, path: &Path) -> Result<()> {
        self.draw(path).map_err(|e| anyhow!("could not draw {}: {e}", self.title))
    }

    fn draw(&self, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
        let root = SVGBackend::new(path, SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let (right, top) = self.limits();
        let mut chart = ChartBuilder::on(&root)
            .caption(&self.title, FONT)
            .margin(MARGIN)
            .x_label_area_size(LABELS)
            .y_label_area_size(LABELS)
            .build_cartesian_2d(0.0..right, 0.0..top)?;
        chart.configure_mesh().x_desc(self.across).y_desc(self.up).draw()?;
        for (index, series) in self.series.iter().enumerate() {
            let colour = Palette99::pick(index).to_rgba();
            let points = series.points.iter().copied();
            chart
                .draw_series(LineSeries::new(points.clone(), &colour))?
                .label(&series.name)
                .legend(move |(x, y)| Circle::new((x, y), POINT, colour.filled()));
            chart.draw_series(points.map(|p| Circle::new(p, POINT, colour.filled())))?;
        }
        chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
        root.present()?;
        Ok(())
    }

    fn limits(&self) -> (f64, f64) {
        let all = || self.series.iter().flat_map(|s| &s.points);
        let right = all().map(|p| p.0).fold(f64::MIN_POSITIVE, f64::max);
        let top = all().map(|p| p.1).fold(f64::MIN_POSITIVE, f64::max);
        (right * HEADROOM, top * HEADROOM)
    }
}
