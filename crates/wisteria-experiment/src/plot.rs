//! Line plots, written as SVG files.

use std::path::Path;

use anyhow::{Result, anyhow};
use plotters::prelude::*;

/// Width and height.
const SIZE_PX: (u32, u32) = (860, 420);
const FONT: (&str, u32) = ("sans-serif", 16);
const MARGIN_PX: u32 = 14;
/// Space for the labels of an axis.
const LABEL_AREA_PX: u32 = 56;
const POINT_RADIUS_PX: u32 = 3;
/// Upper limit of an axis relative to its greatest value.
const AXIS_HEADROOM: f64 = 1.08;

/// A named line of a plot.
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

/// A plot of several lines over common axes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Plot {
    pub(crate) title: String,
    pub(crate) x_label: &'static str,
    pub(crate) y_label: &'static str,
    pub(crate) series: Vec<Series>,
}

impl Plot {
    pub(crate) fn save(&self, path: &Path) -> Result<()> {
        self.draw(path).map_err(|e| anyhow!("could not draw the plot \"{}\": {e}", self.title))
    }

    fn draw(&self, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
        let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
        root.fill(&WHITE)?;
        let (x_max, y_max) = self.axis_limits();
        let mut chart = ChartBuilder::on(&root)
            .caption(&self.title, FONT)
            .margin(MARGIN_PX)
            .x_label_area_size(LABEL_AREA_PX)
            .y_label_area_size(LABEL_AREA_PX)
            .build_cartesian_2d(0.0..x_max, 0.0..y_max)?;
        chart.configure_mesh().x_desc(self.x_label).y_desc(self.y_label).draw()?;
        for (index, series) in self.series.iter().enumerate() {
            let colour = Palette99::pick(index).to_rgba();
            let points = series.points.iter().copied();
            chart
                .draw_series(LineSeries::new(points.clone(), &colour))?
                .label(&series.name)
                .legend(move |(x, y)| Circle::new((x, y), POINT_RADIUS_PX, colour.filled()));
            chart.draw_series(points.map(|p| Circle::new(p, POINT_RADIUS_PX, colour.filled())))?;
        }
        chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
        root.present()?;
        Ok(())
    }

    /// Upper limits of the x and y axes.
    fn axis_limits(&self) -> (f64, f64) {
        let all = || self.series.iter().flat_map(|s| &s.points);
        let x_max = all().map(|p| p.0).fold(f64::MIN_POSITIVE, f64::max);
        let y_max = all().map(|p| p.1).fold(f64::MIN_POSITIVE, f64::max);
        (x_max * AXIS_HEADROOM, y_max * AXIS_HEADROOM)
    }
}
