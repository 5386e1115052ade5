"""Domain records, typed errors and clocks that all other packages use."""
