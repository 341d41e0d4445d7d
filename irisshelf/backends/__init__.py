"""HTTP clients for model engines, plain services and other instances."""
