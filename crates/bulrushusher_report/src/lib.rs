//! Histograms, class figures, burn and metrics.
