"""Backend servers: state, connections and reachability, per instance."""
