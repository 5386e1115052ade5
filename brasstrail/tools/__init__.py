"""The command line, the demonstration, the checks and the benchmarks."""
