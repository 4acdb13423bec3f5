"""Work in hand: records of charges at backups, and what a new owner does with each. Free of I/O."""
