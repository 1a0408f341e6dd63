"""One command that runs every experiment, compares with bounds, plots and derives capacity."""
