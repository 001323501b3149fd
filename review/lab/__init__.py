"""Stand-ins of the users' platform for the cases of this review."""
