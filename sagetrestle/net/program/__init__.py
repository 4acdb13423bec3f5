"""The program: configuration, clock, turn loop, signals and log."""
