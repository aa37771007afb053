"""Stand-ins for the clients, servers and platform that a limiter meets, for the cases of the review."""
