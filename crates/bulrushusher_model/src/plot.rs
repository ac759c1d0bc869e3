//! Plots a column of the table, with a bar per pattern and admission policy.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

/// A bar of the plot.
#[derive(Clone, Debug)]
pub struct Bar {
    /// Name of the load pattern.
    pub pattern: String,
    /// Name of the admission policy.
    pub policy: &'static str,
    /// Height, from 0 to 1.
    pub share: f64,
}

/// Width and height in pixels.
const SIZE: (u32, u32) = (960, 460);

/// Position above the lowest bars, which are those of the patterns with the heaviest load.
const LEGEND_POSITION: SeriesLabelPosition = SeriesLabelPosition::Coordinate(190, 6);

/// Share of the width of a pattern that its bars cover.
const BARS_WIDTH_SHARE: f64 = 0.8;

const COLOURS: [RGBColor; 4] = [
    RGBColor(150, 150, 150),
    RGBColor(70, 130, 180),
    RGBColor(214, 120, 40),
    RGBColor(20, 120, 60),
];

/// Draws the bars as SVG. Patterns and policies keep the order of their first appearance.
///
/// # Errors
/// The error of the plotting library, for example if the file cannot be written.
pub fn draw_bars(file: &Path, title: &str, bars: &[Bar]) -> Result<(), Box<dyn Error>> {
    let patterns = unique_in_order(bars.iter().map(|bar| bar.pattern.as_str()));
    let policies = unique_in_order(bars.iter().map(|bar| bar.policy));
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..patterns.len() as f64, 0.0..1.0)?;
    let name = |x: &f64| patterns.get(*x as usize).map_or(String::new(), ToString::to_string);
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(patterns.len() + 1)
        .x_label_formatter(&name)
        .y_label_formatter(&|share| format!("{:.0} %", share * 100.0))
        .draw()?;
    let width = BARS_WIDTH_SHARE / policies.len() as f64;
    for (n, policy) in policies.iter().enumerate() {
        let colour = COLOURS[n % COLOURS.len()];
        let of_policy = bars.iter().filter(|bar| bar.policy == *policy);
        let rectangles = of_policy.filter_map(|bar| {
            let at = patterns.iter().position(|pattern| *pattern == bar.pattern)?;
            let left = at as f64 + n as f64 * width;
            Some(Rectangle::new([(left, 0.0), (left + width, bar.share)], colour.filled()))
        });
        chart
            .draw_series(rectangles)?
            .label(*policy)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 12, y + 5)], colour.filled()));
    }
    chart
        .configure_series_labels()
        .position(LEGEND_POSITION)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

fn unique_in_order<'a>(all: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut seen = Vec::new();
    for name in all {
        if !seen.contains(&name) {
            seen.push(name);
        }
    }
    seen
}
