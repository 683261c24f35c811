"""Stand-ins of the platform's store and workers as programs, for tests with real processes."""
