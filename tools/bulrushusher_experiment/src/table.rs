//! Markdown table of the results, with one row per load and policy over all seeds.

use bulrushusher_routing::Policy;

use crate::Point;

/// The distinct loads of the points, in ascending order.
pub fn loads(points: &[Point]) -> Vec<f64> {
    let mut loads: Vec<f64> = points.iter().map(|point| point.load).collect();
    loads.sort_by(f64::total_cmp);
    loads.dedup();
    loads
}

/// A value of each point with the given load and policy.
pub fn values(
    points: &[Point],
    load: f64,
    policy: Policy,
    value: impl Fn(&Point) -> f64,
) -> Vec<f64> {
    let matching = points.iter().filter(|p| p.load == load && p.policy == policy);
    matching.map(value).collect()
}

/// Mean of the values; 0 if there are none.
pub fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn mean_and_range(values: &[f64]) -> String {
    let low = values.iter().copied().fold(f64::INFINITY, f64::min);
    let high = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    format!("{:.1} ({low:.1} to {high:.1})", mean(values))
}

/// Formats the points as a Markdown table, with the mean and range over the seeds.
pub fn markdown(points: &[Point]) -> String {
    let mut text = String::from(
        "| load | policy | runs | prompt goodput /s | wasted prefill % | calls in target % | \
         unanswered | promises broken |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for load in loads(points) {
        for policy in Policy::ALL {
            let of = |value: fn(&Point) -> f64| values(points, load, policy, value);
            let goodput = of(|p| p.prompt_goodput);
            if goodput.is_empty() {
                continue;
            }
            let unanswered: f64 =
                of(|p| (p.report.totals.accepted - p.report.totals.answered) as f64).iter().sum();
            let violations: f64 =
                of(|p| p.report.totals.violations().iter().map(|(_, n)| *n as f64).sum())
                    .iter()
                    .sum();
            text.push_str(&format!(
                "| {load} | {policy} | {} | {} | {} | {} | {unanswered} | {violations} |\n",
                goodput.len(),
                mean_and_range(&goodput),
                mean_and_range(&of(|p| p.report.wasted_prefill * 100.0)),
                mean_and_range(&of(|p| p.calls_in_target * 100.0)),
            ));
        }
    }
    text
}
