"""The roles of the daemon (entry, agent, control, gateway) and their shared code."""
