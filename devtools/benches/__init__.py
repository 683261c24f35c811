"""The benchmarks of ./dev bench."""
