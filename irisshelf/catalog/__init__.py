"""What operators configure and which backend servers are there: plain data."""
