"""Entry instances and backend servers: who is alive, who is leaving."""
