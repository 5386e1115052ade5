"""State machines for coordination between nodes, without sockets, files or clocks."""
