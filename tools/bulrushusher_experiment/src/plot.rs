//! SVG plots with one line per policy: the mean of a value over the seeds, against the load.

use std::path::Path;

use bulrushusher_routing::Policy;
use plotters::prelude::*;

use crate::Point;
use crate::table::{loads, mean, values};

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (760, 460);
/// Factor of the y-axis range above the largest value.
const HEADROOM: f64 = 1.1;

fn colour(policy: Policy) -> RGBColor {
    match policy {
        Policy::RoundRobin => RGBColor(150, 150, 150),
        Policy::LeastLoaded => RGBColor(214, 120, 40),
        Policy::PrefillFirst => RGBColor(70, 130, 180),
        Policy::Paired => RGBColor(20, 120, 60),
    }
}

/// Plots one value of the points to an SVG file; writes nothing if there are no points.
///
/// # Errors
/// The plotting library's error, such as a file that cannot be written.
pub fn draw(
    file: &Path,
    title: &str,
    points: &[Point],
    value: fn(&Point) -> f64,
) -> Result<(), Box<dyn std::error::Error>> {
    let loads = loads(points);
    let (Some(first), Some(last)) = (loads.first(), loads.last()) else { return Ok(()) };
    let max_y = points.iter().map(value).fold(1.0, f64::max) * HEADROOM;
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(56)
        .build_cartesian_2d(*first..*last, 0.0..max_y)?;
    chart.configure_mesh().x_desc("load (1.0 is the estimated capacity)").draw()?;
    for policy in Policy::ALL {
        let line = loads.iter().map(|load| (*load, mean(&values(points, *load, policy, value))));
        let line: Vec<(f64, f64)> = line.collect();
        let style = colour(policy).stroke_width(2);
        chart
            .draw_series(LineSeries::new(line.clone(), style))?
            .label(policy.to_string())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], style));
        chart.draw_series(line.iter().map(|at| Circle::new(*at, 3, colour(policy).filled())))?;
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
