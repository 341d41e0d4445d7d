"""The demo: a whole fleet on loopback, with faults, checked against records."""
