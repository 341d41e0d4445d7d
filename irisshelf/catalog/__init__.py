"""Configuration by the operators and the list of backend servers."""
