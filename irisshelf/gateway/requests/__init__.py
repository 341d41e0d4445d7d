"""Request handling: admission, sends to backend servers, responses."""
