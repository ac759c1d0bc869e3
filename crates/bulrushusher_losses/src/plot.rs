//! A plot of losses by second: lines of what went well and what was lost.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use crate::{Losses, Sums};

const SIZE: (u32, u32) = (960, 420);

type Line = (&'static str, RGBColor, fn(&Sums) -> u64);

const LINES: [Line; 4] = [
    ("on time", RGBColor(20, 120, 60), |sums| sums.on_time),
    ("late", RGBColor(214, 120, 40), |sums| sums.late),
    ("refused", RGBColor(70, 130, 180), |sums| sums.refused),
    ("broken off, failed or given up", RGBColor(170, 40, 40), |sums| {
        sums.broken_off + sums.failed + sums.given_up
    }),
];

/// Draws losses by second as SVG.
///
/// # Errors
/// What the plotting library says, such as a file that cannot be written.
pub fn draw(file: &Path, by_second: &Losses) -> Result<(), Box<dyn Error>> {
    let points: Vec<(f64, &Sums)> = by_second
        .groups
        .iter()
        .filter_map(|(second, sums)| Some((second.trim().parse().ok()?, sums)))
        .collect();
    let last = points.iter().map(|(second, _)| *second).fold(1.0, f64::max);
    let most = points.iter().map(|(_, sums)| sums.attempts).max().unwrap_or(1) as f64;
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Requests by the second in which they came", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..last, 0.0..most)?;
    chart.configure_mesh().x_desc("s").y_desc("requests").draw()?;
    for (name, colour, count) in LINES {
        let line = points.iter().map(|(second, sums)| (*second, count(sums) as f64));
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
