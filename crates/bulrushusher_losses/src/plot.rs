//! Plots the outcomes of requests over time, with one line per group of outcomes.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use crate::{EndCounts, Losses};

/// Width and height in pixels.
const SIZE: (u32, u32) = (960, 420);

/// Label, colour and value of a line.
type PlotLine = (&'static str, RGBColor, fn(&EndCounts) -> u64);

const LINES: [PlotLine; 4] = [
    ("on time", RGBColor(20, 120, 60), |counts| counts.on_time),
    ("late", RGBColor(214, 120, 40), |counts| counts.late),
    ("refused", RGBColor(70, 130, 180), |counts| counts.refused),
    ("broken off, failed or given up", RGBColor(170, 40, 40), |counts| {
        counts.broken_off + counts.failed + counts.given_up
    }),
];

/// Draws losses grouped by [`GroupBy::Second`](crate::GroupBy::Second) as SVG.
///
/// # Errors
/// The error of the plotting library, for example if the file cannot be written.
pub fn draw_losses(file: &Path, by_second: &Losses) -> Result<(), Box<dyn Error>> {
    let points: Vec<(f64, &EndCounts)> = by_second
        .groups
        .iter()
        .filter_map(|(second, counts)| Some((second.trim().parse().ok()?, counts)))
        .collect();
    let max_second = points.iter().map(|(second, _)| *second).fold(1.0, f64::max);
    let max_requests = points.iter().map(|(_, counts)| counts.attempts).max().unwrap_or(1) as f64;
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Requests by the second in which they came", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..max_second, 0.0..max_requests)?;
    chart.configure_mesh().x_desc("s").y_desc("requests").draw()?;
    for (name, colour, value) in LINES {
        let line = points.iter().map(|(second, counts)| (*second, value(counts) as f64));
        chart
            .draw_series(LineSeries::new(line, colour.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .position(SeriesLabelPosition::UpperRight)
        .draw()?;
    area.present()?;
    Ok(())
}
